#pragma once

/// The metrics of one process: a Prometheus registry.

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

/// Makes and holds the process's counters, gauges and histograms. Any thread may make and change them; references stay
/// valid for the life of the registry.
class Registry {
public:
    Registry();

    /// A counter. name: snake_case, starts with "eelgrasshatch_", ends in "_total".
    prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& = {});
    /// A gauge.
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& = {});
    /// A histogram with the given upper bounds, in the unit that the name ends in.
    prometheus::Histogram& histogram(
        const std::string& name, const std::string& help, const std::vector<double>& upperBounds, const Labels& = {});

    /// Everything, in the text format that Prometheus reads.
    std::string text() const;

    /// The registry, for tests.
    prometheus::Registry& registry() { return *registry_; }

protected:
    /// For whoever serves it.
    const std::shared_ptr<prometheus::Registry>& shared() const { return registry_; }

private:
    std::shared_ptr<prometheus::Registry> registry_;
};

/// Raises a counter to a total that another object counts. Totals never fall.
void raiseTo(prometheus::Counter&, double total);

}
