#pragma once

#include <LibSteering/Process/PeerLoads.h>
#include <string>
#include <vector>

namespace Steering {

/// Whom an entry VM reports to, so that its control traffic stays bounded however many entry VMs there are.
///
/// Up to 32 entry VMs of a failure domain all report to each other. A larger domain is parted into cells by hash: the
/// members of a cell report to each other, and prefer the backend servers of their cell, whose load they therefore
/// know. Over the cells lies a tree by rank, whose root follows the store: each member reports to its children, so that
/// news reach everybody in a few steps and silence of a parent is noticed. In other failure domains, each member
/// reports to its counterparts by rank.
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

    /// Call after each change of the list of peers.
    void update(const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>&);

    /// In the own failure domain, and in others.
    const std::vector<Base::EntryVmId>& nearTargets() const { return nearTargets_; }
    const std::vector<Base::EntryVmId>& farTargets() const { return farTargets_; }

    /// Cells of the own failure domain; 1: it is not parted.
    uint64_t cellCount() const { return cellCount_; }
    /// Whether all that use the server report here, as far as the fabric allows: in a large domain, those of the own
    /// cell; of other domains then nobody.
    bool isLoadKnown(BackendServerNumber number, bool isOwnDomain) const
    {
        return cellCount_ == 1 || (isOwnDomain && Base::mix(number.value) % cellCount_ == cellOf(options_.self));
    }

    /// The order in which entry VMs of a failure domain follow the store: wide links first, since the others fetch
    /// everything from there.
    using Rank = std::pair<int64_t, uint64_t>;
    static Rank rankOf(Base::EntryVmId id, uint64_t linkMegabits)
    {
        return { -static_cast<int64_t>(linkMegabits), Base::mix(id.value) };
    }

private:
    uint64_t cellOf(Base::EntryVmId id) const { return Base::mix(id.value, cellCount_) % cellCount_; }

    Options options_;
    std::vector<Base::EntryVmId> nearTargets_;
    std::vector<Base::EntryVmId> farTargets_;
    uint64_t cellCount_ { 1 };
};

}
