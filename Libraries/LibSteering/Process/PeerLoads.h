#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Events.h>
#include <LibSteering/Process/LoadReport.h>
#include <LibSteering/Process/ServerTable.h>
#include <unordered_map>

namespace Steering {

/// Maintains each server's sum of the requests in flight that peers report. Reports older than one second do not count.
class PeerLoads {
public:
    struct Peer {
        std::string failureDomain;
        Base::Ipv4Endpoint reports;
        uint64_t linkMegabits { 0 };
        /// When its record was first seen.
        Base::TimePoint listedAt {};
        uint64_t sequence { 0 };
        Base::StorePosition position;
        StoreView store { StoreView::NotWatching };
        /// When the last report was received; the epoch if there was none.
        Base::TimePoint lastReportAt {};
        std::vector<ServerLoad> loads;
        /// Its demand at services whose room is short.
        std::vector<ServiceDemand> demands;
    };

    explicit PeerLoads(ServerTable& servers)
        : servers_(servers)
    {
    }

    void addOrUpdate(Base::TimePoint now, const PeerListed&);
    void remove(Base::EntryVmId);
    /// Returns false if the sender is unknown or a report at least as new was received before.
    bool accept(Base::TimePoint now, const LoadReport&);
    /// Stops counting reports that are too old. Called every 250 ms.
    void expire(Base::TimePoint now);
    const std::unordered_map<Base::EntryVmId, Peer>& peers() const { return peers_; }

private:
    void subtract(Peer&);

    ServerTable& servers_;
    std::unordered_map<Base::EntryVmId, Peer> peers_;
};

}
