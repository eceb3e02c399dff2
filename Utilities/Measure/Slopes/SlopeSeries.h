#pragma once

#include "../Fit.h"
#include "../Measurement.h"
#include <functional>
#include <string>
#include <vector>

namespace Measure {

/// One quantity measured at several sizes.
struct SlopeSeries {
    /// For example "member_bytes"; figures are "slope.<name>.<size>" and "slope.<name>.{intercept,slope,residual}".
    std::string name;
    std::string unit;
    /// Unit of the size, for example "members".
    std::string sizeOf;
    std::vector<double> sizes;
    /// Returns the quantity at a size.
    std::function<double(double size)> measure;
};

/// Measures the quantity at every size and prints the samples and the fit with its growth and residual.
void reportSeries(const SlopeSeries&, Report&);

/// Control nodes: memory, processor time and bytes as functions of the number of members.
std::vector<SlopeSeries> controlSeries(uint64_t seed);

/// Flow decisions: memory and processor time as functions of the numbers of flows, backend servers and balancers.
std::vector<SlopeSeries> flowSeries(uint64_t seed);

/// Configuration: memory and the cost of encoding and applying as functions of the number of backend servers.
std::vector<SlopeSeries> configurationSeries(uint64_t seed);

/// Runs "measure slopes".
int measureSlopes(const Request&, Report&);

}
