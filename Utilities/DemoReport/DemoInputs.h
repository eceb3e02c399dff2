#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace DemoReport {

/// A step of the demo, from one line of its event file: "<unix milliseconds> <kind> [argument]".
struct DemoEvent {
    int64_t timestampMilliseconds { 0 };
    std::string kind;
    std::string argument;
};

/// All inputs of the report.
struct DemoInputs {
    /// The callers' report (standin-callers).
    nlohmann::json callers;
    /// The backend servers' report (standin-backends).
    nlohmann::json backendServers;
    std::vector<DemoEvent> events;
    /// Counters from the metrics pages, summed over all balancers, by "name{labels}".
    std::map<std::string, double> counters;
};

/// Reads the input files. Throws std::runtime_error with the path if a file cannot be opened, and
/// nlohmann::json::parse_error if a report is malformed.
DemoInputs readInputs(const std::string& callersPath, const std::string& backendServersPath,
    const std::string& eventsPath, const std::vector<std::string>& metricsPaths);

}
