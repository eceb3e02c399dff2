#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Measure {

/// Parameters of a measurement.
struct Request {
    uint64_t seed { 1 };
    /// Output folder for plots. If empty, no plots are written.
    std::string plotDirectory;
};

/// Prints figures, one per line: "FIGURE <name> <value> <unit>".
class Report {
public:
    /// Prints the value with up to six significant digits, and without a fraction if it is an integer.
    void figure(std::string_view name, double value, std::string_view unit);
    /// Prints a comment line ("# text").
    void note(std::string_view text);
};

/// One entry of "measure list".
struct Measurement {
    std::string name;
    /// One-line description shown by "measure list".
    std::string summary;
    /// Returns the process's exit code: 0, or 1 if an invariant was violated.
    std::function<int(const Request&, Report&)> run;
};

/// Returns all measurements, in the order of "measure list".
std::vector<Measurement> allMeasurements();

}
