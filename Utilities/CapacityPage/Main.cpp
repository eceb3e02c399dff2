// eelgrasshatch-capacity: computes the table of the capacity page from a file of measured slopes and writes it into the
// page, or checks that the page is up to date.

#include <LibCapacity/Page.h>
#include <LibCapacity/SlopeFile.h>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>

namespace {

constexpr int usageErrorExitCode = 2;

Base::ErrorOr<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return Base::makeError(Base::ErrorCode::NotFound, "cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Base::ErrorOr<int> updatePage(const std::string& slopesPath, const std::string& pagePath, bool checkOnly)
{
    TRY_ASSIGN(slopesText, readFile(slopesPath));
    TRY_ASSIGN(page, readFile(pagePath));
    TRY_ASSIGN(slopes, Capacity::parseSlopes(slopesText));
    TRY_ASSIGN(table, Capacity::renderTable(slopes));
    TRY_ASSIGN(updated, Capacity::replaceTable(page, table));
    if (updated == page)
        return 0;
    if (checkOnly)
        return Base::makeError(Base::ErrorCode::Stale, pagePath + " differs from its formulas");
    std::ofstream(pagePath) << updated;
    return 0;
}

int run(int argc, char** argv)
{
    cxxopts::Options options("eelgrasshatch-capacity", "Writes the capacity page's table from measured slopes.");
    options.add_options()(
        "slopes", "file of FIGURE lines", cxxopts::value<std::string>()->default_value("docs/slopes.txt"));
    options.add_options()("page", "the page", cxxopts::value<std::string>()->default_value("docs/CAPACITY.md"));
    options.add_options()("check", "change nothing; exit 1 when the page differs")("help", "this page");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::printf("%s\n", options.help().c_str());
        return 0;
    }
    return Base::handleError(
        [&] {
            return updatePage(arguments["slopes"].as<std::string>(), arguments["page"].as<std::string>(),
                arguments.count("check") > 0);
        },
        [](const Base::Error& error) {
            std::fprintf(stderr, "eelgrasshatch-capacity: %s\n", error.detail.c_str());
            return 1;
        });
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::fprintf(stderr, "eelgrasshatch-capacity: %s\n", exception.what());
        return usageErrorExitCode;
    }
}
