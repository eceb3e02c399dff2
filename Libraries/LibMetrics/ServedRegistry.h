#pragma once

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibMetrics/Registry.h>
#include <prometheus/exposer.h>

namespace Metrics {

/// A registry with an HTTP endpoint of its own, at /metrics.
class ServedRegistry : public Registry {
public:
    /// Serves the registry. Port 0: the kernel chooses. Unavailable when the endpoint cannot be bound.
    Base::ErrorOr<Base::Ipv4Endpoint> serve(const Base::Ipv4Endpoint&);

private:
    std::unique_ptr<prometheus::Exposer> exposer_;
};

}
