/// standin-store: in-memory stand-in for the platform's key-value service and VM list, for demos and tests.

#include <LibProgram/Program.h>
#include <LibStandInStore/Server.h>
#include <cstdio>
#include <cxxopts.hpp>

namespace {

constexpr Base::milliseconds signalPollInterval { 200 };

int run(uint16_t port, uint64_t seed)
{
    Program::Signals signals;
    constexpr uint32_t loopback = 0x7F000001;
    auto server = Base::capture([&] { return StandInStore::Server::create({ { loopback }, port }, seed); });
    if (!server.isOk()) {
        std::fprintf(stderr, "standin-store: %s\n", server.error.detail.c_str());
        return Program::Failure;
    }
    Program::announceListening("store", (*server.value)->endpoint());
    while (!signals.waitForStop(signalPollInterval)) { }
    return Program::Success;
}

int runWithArguments(int argc, char** argv)
{
    cxxopts::Options options("standin-store", "In-memory stand-in of the platform's store and VM list");
    options.add_options()(
        "port", "port on 127.0.0.1; 0: the kernel chooses", cxxopts::value<uint16_t>()->default_value("0"));
    options.add_options()("seed", "seed of the fault draws", cxxopts::value<uint64_t>()->default_value("1"));
    options.add_options()("help", "this page")("version", "the version");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::printf("%s\n", options.help().c_str());
        return Program::Success;
    }
    if (arguments.count("version") > 0) {
        std::printf("standin-store %s\n", EELGRASSHATCH_VERSION);
        return Program::Success;
    }
    return run(arguments["port"].as<uint16_t>(), arguments["seed"].as<uint64_t>());
}

}

int main(int argc, char** argv)
{
    try {
        return runWithArguments(argc, argv);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::fprintf(stderr, "standin-store: %s\n", exception.what());
        return Program::Usage;
    }
}
