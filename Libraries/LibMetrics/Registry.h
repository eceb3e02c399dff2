#pragma once

/// The metrics of a process, in a Prometheus registry.

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace Metrics {

using Labels = std::map<std::string, std::string>;

/// Creates and owns the process's counters, gauges and histograms. Thread-safe; references stay valid for the lifetime
/// of the registry.
class Registry {
public:
    Registry();

    /// Adds a counter. name: in snake_case, starts with "eelgrasshatch_" and ends in "_total".
    prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& = {});
    /// Adds a gauge.
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& = {});
    /// Adds a histogram. upperBounds: in the unit that the name ends in.
    prometheus::Histogram& histogram(
        const std::string& name, const std::string& help, const std::vector<double>& upperBounds, const Labels& = {});

    /// All metrics in the Prometheus text format.
    std::string text() const;

    /// The registry, for tests.
    prometheus::Registry& registry() { return *registry_; }

protected:
    /// For derived classes that serve the metrics.
    const std::shared_ptr<prometheus::Registry>& sharedRegistry() const { return registry_; }

private:
    std::shared_ptr<prometheus::Registry> registry_;
};

/// Raises a counter to a total counted elsewhere. Does nothing if the total is lower.
void raiseTo(prometheus::Counter&, double total);

}
