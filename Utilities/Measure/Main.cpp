// eelgrasshatch-measure: runs one measurement and prints its figures, or lists all measurements.

#include "Measurement.h"
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>

namespace {

constexpr int exitUsage = 2;

int listMeasurements()
{
    for (const auto& measurement : Measure::allMeasurements())
        std::printf("%-20s %s\n", measurement.name.c_str(), measurement.summary.c_str());
    return 0;
}

int runMeasurement(const std::string& name, const Measure::Request& request)
{
    for (const auto& measurement : Measure::allMeasurements()) {
        if (measurement.name != name)
            continue;
        Measure::Report report;
        return measurement.run(request, report);
    }
    std::fprintf(stderr, "measure: unknown measurement '%s'; 'measure list' names them all\n", name.c_str());
    return exitUsage;
}

int run(int argc, char** argv)
{
    cxxopts::Options options("eelgrasshatch-measure", "Prints the figures of one measurement.");
    options.positional_help("NAME|list");
    options.add_options()("name", "measurement", cxxopts::value<std::string>()->default_value("list"));
    options.add_options()("seed", "seed of every random choice", cxxopts::value<uint64_t>()->default_value("1"));
    options.add_options()("plot", "folder for plots", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("help", "this page")("version", "the version");
    options.parse_positional("name");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::printf("%s\n", options.help().c_str());
        return 0;
    }
    if (arguments.count("version") > 0) {
        std::printf("eelgrasshatch-measure %s\n", EELGRASSHATCH_VERSION);
        return 0;
    }
    const auto name = arguments["name"].as<std::string>();
    if (name == "list")
        return listMeasurements();
    return runMeasurement(
        name, { .seed = arguments["seed"].as<uint64_t>(), .plotDirectory = arguments["plot"].as<std::string>() });
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::fprintf(stderr, "measure: %s\n", exception.what());
        return exitUsage;
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "measure: %s\n", exception.what());
        return 1;
    }
}
