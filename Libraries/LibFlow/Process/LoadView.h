#pragma once

#include <LibFlow/Types.h>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace Flow {

/// Load and free capacity of the backend servers of one service that one balancer owns.
struct LoadDigest {
    ServiceId service;
    /// Target for a spilled flow: a lightly loaded backend server with free connections, preferably also with free
    /// slots; invalid if there is none.
    BackendServerId best;
    /// Free slots and connections of all backend servers together.
    uint32_t freeSlots { 0 };
    uint32_t freeConnections { 0 };
    /// Open flows and total weight of the backend servers that accept new flows; the weight is reduced during slow
    /// start.
    uint32_t connections { 0 };
    uint32_t weight { 0 };
    /// Number of backend servers of the service, and how many of them are reported unhealthy.
    uint32_t servers { 0 };
    uint32_t unhealthy { 0 };
};

/// The latest load digests of other balancers; they lag behind the actual load.
class LoadView {
public:
    /// Stores a received digest.
    void update(TimePoint now, EntryVmId peer, const LoadDigest&);
    /// Removes the digests of a balancer.
    void removePeer(EntryVmId peer);
    /// Subtracts a flow that was spilled to a peer from its free capacity until its next digest.
    void deductCapacity(EntryVmId peer, ServiceId);
    /// Sets the free capacity of a peer to zero until its next digest.
    void markExhausted(EntryVmId peer, ServiceId);

    /// Returns the sum of all digests of a service that have not timed out.
    LoadDigest sum(TimePoint now, ServiceId) const;
    struct SpillTarget {
        EntryVmId peer;
        BackendServerId server;
    };
    /// Selects a peer at random, weighted by free capacity. needsSlot: the flow occupies a slot at once.
    std::optional<SpillTarget> choose(TimePoint now, ServiceId, bool needsSlot, uint64_t random) const;
    /// The same among peers whose load (open flows by weight) is below meanLoad, weighted by the difference.
    std::optional<SpillTarget> chooseBelow(
        TimePoint now, ServiceId, bool needsSlot, double meanLoad, uint64_t random) const;

private:
    struct ReceivedDigest {
        LoadDigest digest;
        TimePoint receivedAt {};
    };

    static constexpr Base::seconds digestTimeout { 3 };

    using FreeCapacityOf = std::function<uint32_t(const LoadDigest&)>;
    std::optional<SpillTarget> pick(TimePoint now, ServiceId, const FreeCapacityOf&, uint64_t random) const;

    std::unordered_map<ServiceId, std::map<EntryVmId, ReceivedDigest>> digests_;
};

}
