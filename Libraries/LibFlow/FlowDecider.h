#pragma once

#include <LibBase/Error.h>
#include <LibConfiguration/Snapshot.h>
#include <LibFlow/Types.h>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace Flow {

/// Counters and gauges of one decider, for metrics and measurements. Arrays are indexed by the enum value of the
/// reason.
struct FlowStatistics;

/// Decides what happens to every packet of one balancer. Deterministic: it uses no clock, socket, thread or random
/// device; events and times are passed in, actions are returned, and equal inputs give equal outputs. Not thread-safe;
/// one thread calls it.
class FlowDecider {
public:
    /// Parameters of create().
    struct Options {
        EntryVmId self;
        /// Different for each start of the process.
        uint64_t incarnation { 1 };
        std::string failureDomain;
        /// Seed of the random number generator.
        uint64_t seed { 1 };
        /// Maximum number of flow records; further first packets are refused.
        std::size_t maximumFlows { 500'000 };
        /// Maximum number of packets queued until a backend server has capacity, over all port classes.
        std::size_t maximumQueued { 1024 };
        /// Limit on the control traffic that this decider sends to all peers together, in bytes per second.
        uint32_t controlBytesPerSecond { 4096 };
    };

    /// Returns InvalidArgument if self is invalid or a limit is zero.
    static Base::ErrorOr<std::unique_ptr<FlowDecider>> create(const Options&);

    virtual ~FlowDecider() = default;

    /// Applies a configuration. Returns Stale and changes nothing if it is older than the current one.
    virtual Base::ErrorOr<void> setConfiguration(TimePoint now, Configuration::SnapshotPointer) = 0;
    /// Applies a new membership view. Returns Stale and changes nothing if its version is older than the current one.
    virtual Base::ErrorOr<void> setPeers(TimePoint now, const PeerView&) = 0;
    /// Prefetches the flow records of packets that are about to be handled. Optional; changes no state.
    virtual void prefetch(std::span<const PacketEvent>) const { }
    /// Decides one packet. Each token passed in is named by exactly one final action, in this call or a later one.
    virtual void handlePacket(TimePoint now, const PacketEvent&, Actions&) = 0;
    /// Handles a control message from another balancer's decider; the host has authenticated the sender. Returns
    /// Malformed, TooLarge or Stale without changing any state.
    virtual Base::ErrorOr<void> handlePeerMessage(TimePoint now, EntryVmId sender, std::span<const std::byte>, Actions&)
        = 0;
    /// Handles a probe result. Returns Stale if it is older than the latest one, NotFound if the backend server is
    /// unknown.
    virtual Base::ErrorOr<void> handleReport(TimePoint now, const BackendServerReport&) = 0;
    /// Handles expiry, queues, pacing, leases and retries. Must be called at least every 10 ms.
    virtual void handleTick(TimePoint now, Actions&) = 0;
    /// Stops accepting new flows and transfers the state of this balancer to its peers.
    virtual void beginLeaving(TimePoint now, Actions&) = 0;
    /// Whether all state has been transferred or the leave timeout has expired, so that the process may exit.
    virtual bool hasLeft() const = 0;
    /// The backend servers whose health this balancer needs to have probed.
    virtual std::vector<BackendServerId> backendServersToProbe() const = 0;
    /// Counters since creation and current gauges.
    virtual const FlowStatistics& statistics() const = 0;
};

}
