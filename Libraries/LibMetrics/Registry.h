#pragma once

/// The metrics of one process: a Prometheus registry, and the endpoint that serves it over HTTP at /metrics.

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/exposer.h>
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

    /// Serves the registry. Port 0: the kernel chooses. Unavailable when the endpoint cannot be bound.
    Base::ErrorOr<Base::Ipv4Endpoint> serve(const Base::Ipv4Endpoint&);

    /// Ends serving; takes up to a second.
    void stop() { exposer_.reset(); }

    /// The registry, for tests.
    prometheus::Registry& registry() { return *registry_; }

private:
    std::shared_ptr<prometheus::Registry> registry_;
    std::unique_ptr<prometheus::Exposer> exposer_;
};

/// Raises a counter to a total that another object counts. Totals never fall.
void raiseTo(prometheus::Counter&, double total);

}
