#include "ProgramOptions.h"

#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>

namespace StandIn {

static constexpr int exitUsage = 2;

int runProgram(
    int argc, char** argv, cxxopts::Options options, const std::function<int(const cxxopts::ParseResult&)>& body)
{
    options.add_options()("help", "this page");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::printf("%s\n", options.help().c_str());
            return 0;
        }
        return body(arguments);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::fprintf(stderr, "%s: %s\n", argv[0], exception.what());
        return exitUsage;
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "%s: %s\n", argv[0], exception.what());
        return 1;
    }
}

void announceListening(const std::string& name, const std::string& endpoint)
{
    std::printf("LISTENING %s %s\n", name.c_str(), endpoint.c_str());
    std::fflush(stdout);
}

void writeFile(const std::string& path, const std::string& text)
{
    const auto temporary = path + ".partial";
    std::ofstream(temporary) << text;
    std::filesystem::rename(temporary, path);
}

}
