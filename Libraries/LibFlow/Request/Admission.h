#pragma once

#include <LibFlow/Process/LoadView.h>
#include <LibFlow/Process/Placement.h>
#include <optional>

namespace Flow {

/// Selects a backend server with free capacity for a first packet, among those that this balancer owns.
class Admission {
public:
    /// Requirements of a first packet.
    struct Request {
        const Configuration::Service* service { nullptr };
        const Configuration::PortClass* portClass { nullptr };
        /// The bucket's backend server; invalid if the flow comes from another balancer or the service has no backend
        /// server.
        BackendServerId preferred;
        /// A backend server that has already refused the flow.
        BackendServerId excluded;
        /// Accept only the preferred backend server.
        bool preferredOnly { false };
    };

    /// How unevenly load may be distributed by a selection.
    enum class Balance {
        /// Only backend servers whose load relative to their weight is near the mean.
        Near,
        /// Any backend server with free capacity.
        Any,
    };

    Admission(DeciderState& state, const Placement& placement, const LoadView& loadView)
        : state_(state)
        , placement_(placement)
        , loadView_(loadView)
    {
    }

    /// Selects one of this balancer's backend servers with free capacity, if there is one.
    std::optional<BackendServerId> choose(TimePoint now, const Request&, Balance) const;
    /// Whether a flow may go to another backend server than the bucket table gives. Not allowed for non-idempotent
    /// datagrams: a duplicate received by another balancer would be routed by the table and executed a second time.
    static bool maySpill(const Configuration::PortClass&);
    /// Whether the first packet of a flow of this class occupies a slot.
    static bool needsSlot(const Configuration::PortClass&);
    /// Whether flows of this class occupy a slot only from their first request, after the handshake.
    static bool awaitsRequest(const Configuration::PortClass&);
    /// Returns the free part of the limits of a backend server that this balancer may use, reduced during slow start.
    Usage freeCapacity(TimePoint now, BackendServerId) const;
    /// Whether a backend server may get new flows: allowed by the configuration, owned by this balancer, healthy and
    /// not ejected.
    bool isEligible(TimePoint now, BackendServerId) const;
    /// Returns the mean number of open flows per weight, over all backend servers of a service that accept new flows.
    double meanLoad(TimePoint now, const Configuration::Service&) const;
    /// Returns this balancer's load digest of a service.
    LoadDigest digest(TimePoint now, const Configuration::Service&) const;

private:
    bool isHealthReportIgnored(TimePoint now, const Configuration::Service&) const;
    uint32_t loadCap(TimePoint now, const Configuration::Service&, const Configuration::BackendServer&) const;
    bool hasFreeCapacity(TimePoint now, const Request&, BackendServerId) const;
    std::optional<BackendServerId> chooseOther(TimePoint now, const Request&, Balance) const;

    DeciderState& state_;
    const Placement& placement_;
    const LoadView& loadView_;
};

}
