#include <LibMetrics/ServedRegistry.h>

#include <exception>

namespace Metrics {

Base::ErrorOr<Base::Ipv4Endpoint> ServedRegistry::serve(const Base::Ipv4Endpoint& endpoint)
{
    try {
        exposer_ = std::make_unique<prometheus::Exposer>(endpoint.toString(), 1);
        exposer_->RegisterCollectable(sharedRegistry());
        const auto ports = exposer_->GetListeningPorts();
        auto bound = endpoint;
        if (!ports.empty())
            bound.port = static_cast<uint16_t>(ports.front());
        return bound;
    } catch (const std::exception& exception) {
        return Base::makeError(
            Base::ErrorCode::Unavailable, "metrics endpoint " + endpoint.toString() + ": " + exception.what());
    }
}

}
