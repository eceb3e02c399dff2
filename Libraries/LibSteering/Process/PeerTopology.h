#pragma once

#include <LibSteering/Process/PeerLoads.h>
#include <string>
#include <vector>

namespace Steering {

/// Selects the peers that an entry VM reports to, so that its control traffic is bounded in fleets of any size.
///
/// Up to 32 entry VMs of a failure domain all report to each other. A larger domain is partitioned into cells by hash:
/// the members of a cell report to each other, and prefer the backend servers of their cell, whose load they therefore
/// know. All members also form a tree by rank, whose root watches the store: each member reports to its children, so
/// that updates reach all of them in a few hops and the loss of a parent is detected. In other failure domains, each
/// member reports to the members of the same rank.
class PeerTopology {
public:
    struct Options {
        Base::EntryVmId self;
        std::string failureDomain;
        /// Capacity of this entry VM's link, in Mbit/s.
        uint64_t linkMegabits { 0 };
    };

    explicit PeerTopology(Options options)
        : options_(std::move(options))
    {
    }

    /// Computes the targets anew. Must be called after each change of the list of peers.
    void update(const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>&);

    /// Report targets in the own failure domain, and in others.
    const std::vector<Base::EntryVmId>& ownDomainTargets() const { return ownDomainTargets_; }
    const std::vector<Base::EntryVmId>& otherDomainTargets() const { return otherDomainTargets_; }

    /// Number of cells of the own failure domain; 1 if it is not partitioned.
    uint64_t cellCount() const { return cellCount_; }
    /// Whether all entry VMs that use the server report here, as far as the fabric allows. In a partitioned domain this
    /// holds only for the servers of the own cell.
    bool isLoadKnown(BackendServerNumber number, bool isOwnDomain) const
    {
        return cellCount_ == 1 || (isOwnDomain && Base::mix(number.value) % cellCount_ == cellOf(options_.self));
    }

    /// The order in which entry VMs of a failure domain are selected to watch the store: those with the widest
    /// link first, since the others fetch all records from them.
    using Rank = std::pair<int64_t, uint64_t>;
    static Rank rankOf(Base::EntryVmId id, uint64_t linkMegabits)
    {
        return { -static_cast<int64_t>(linkMegabits), Base::mix(id.value) };
    }

private:
    uint64_t cellOf(Base::EntryVmId id) const { return Base::mix(id.value, cellCount_) % cellCount_; }

    Options options_;
    std::vector<Base::EntryVmId> ownDomainTargets_;
    std::vector<Base::EntryVmId> otherDomainTargets_;
    uint64_t cellCount_ { 1 };
};

}
