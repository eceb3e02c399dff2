#include "DemoInputs.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace DemoReport {

static std::ifstream open(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    return file;
}

static std::vector<DemoEvent> readEvents(const std::string& path)
{
    std::vector<DemoEvent> events;
    auto file = open(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream fields(line);
        DemoEvent event;
        fields >> event.timestampMilliseconds >> event.kind >> event.argument;
        events.push_back(std::move(event));
    }
    return events;
}

/// Adds the samples of one metrics page (Prometheus text format), without histogram buckets.
static void addCounters(const std::string& path, std::map<std::string, double>& counters)
{
    auto file = open(path);
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("eelgrasshatch_") || line.find("_bucket{") != std::string::npos)
            continue;
        const auto space = line.rfind(' ');
        counters[line.substr(0, space)] += std::stod(line.substr(space + 1));
    }
}

DemoInputs readInputs(const std::string& callersPath, const std::string& backendServersPath,
    const std::string& eventsPath, const std::vector<std::string>& metricsPaths)
{
    DemoInputs inputs;
    auto callers = open(callersPath);
    auto backendServers = open(backendServersPath);
    inputs.callers = nlohmann::json::parse(callers);
    inputs.backendServers = nlohmann::json::parse(backendServers);
    inputs.events = readEvents(eventsPath);
    for (const auto& path : metricsPaths)
        addCounters(path, inputs.counters);
    return inputs;
}

}
