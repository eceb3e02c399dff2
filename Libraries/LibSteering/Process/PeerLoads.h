#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Events.h>
#include <LibSteering/Process/LoadReport.h>
#include <LibSteering/Process/ServerTable.h>
#include <unordered_map>

namespace Steering {

/// Keeps each server's sum of the work in progress that peers report. A peer that falls silent stops counting.
class PeerLoads {
public:
    struct Peer {
        std::string failureDomain;
        Base::Ipv4Endpoint reports;
        uint64_t linkMegabits { 0 };
        uint64_t sequence { 0 };
        uint64_t revision { 0 };
        StoreView store { StoreView::NotWatching };
        /// When the last report came; the epoch: none yet.
        Base::TimePoint heardAt {};
        std::vector<ServerLoad> loads;
    };

    explicit PeerLoads(ServerTable& servers)
        : servers_(servers)
    {
    }

    void list(const PeerListed&);
    void unlist(Base::EntryVmId);
    /// False for an unknown sender, or when a newer report was there before.
    bool take(Base::TimePoint now, const LoadReport&);
    /// Call now and then.
    void expire(Base::TimePoint now);
    const std::unordered_map<Base::EntryVmId, Peer>& peers() const { return peers_; }

private:
    void subtract(Peer&);

    ServerTable& servers_;
    std::unordered_map<Base::EntryVmId, Peer> peers_;
};

}
