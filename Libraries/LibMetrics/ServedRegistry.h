#pragma once

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibMetrics/Registry.h>
#include <prometheus/exposer.h>

namespace Metrics {

/// A registry with its own HTTP endpoint at /metrics.
class ServedRegistry : public Registry {
public:
    /// Starts serving the metrics and returns the bound endpoint; with port 0, the kernel chooses the port. Returns
    /// ErrorCode::Unavailable if the endpoint cannot be bound.
    Base::ErrorOr<Base::Ipv4Endpoint> serve(const Base::Ipv4Endpoint&);

private:
    std::unique_ptr<prometheus::Exposer> exposer_;
};

}
