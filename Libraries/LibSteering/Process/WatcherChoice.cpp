#include <LibSteering/Process/WatcherChoice.h>

#include <LibSteering/Process/DisseminationTimes.h>
#include <LibSteering/Process/PeerTopology.h>

namespace Steering {

namespace {

    /// By then every running peer has sent its first reports.
    constexpr Base::milliseconds firstReportTimeout { 700 };

    /// Limit of entry VMs that try to replace watchers to which the store does not respond.
    constexpr std::size_t maximumSubstitutes = 2;

    bool isReporting(Base::TimePoint now, const PeerLoads::Peer& peer)
    {
        return peer.lastReportAt != Base::TimePoint {}
        && now - peer.lastReportAt <= DisseminationTimes::watcherReportTimeout;
    }

}

bool WatcherChoice::isWatcher(Base::TimePoint now, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>& peers,
    Base::TimePoint synchronizedAt) const
{
    const bool isStarting = now - synchronizedAt < firstReportTimeout;
    const auto ownRank = PeerTopology::rankOf(options_.self, options_.linkMegabits);
    std::size_t higherRanked = 0;
    std::size_t higherRankedWithoutStore = 0;
    for (const auto& [id, peer] : peers) {
        const bool isRunning = isReporting(now, peer) || (isStarting && peer.lastReportAt == Base::TimePoint {});
        const bool isHigherRanked = peer.failureDomain == options_.failureDomain && isRunning
            && PeerTopology::rankOf(id, peer.linkMegabits) < ownRank;
        higherRanked += isHigherRanked ? 1 : 0;
        const bool isWithoutStore = peer.store == StoreView::Unresponsive || peer.store == StoreView::Overdue;
        higherRankedWithoutStore += isHigherRanked && isWithoutStore ? 1 : 0;
    }
    // The store may refuse single entry VMs; while it responds to none, only a few keep trying.
    return higherRanked - higherRankedWithoutStore < options_.watchersPerDomain
        && higherRanked < options_.watchersPerDomain + maximumSubstitutes;
}

bool WatcherChoice::isStoreResponding(
    Base::TimePoint now, StoreView ownView, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>& peers)
{
    if (ownView != StoreView::NotWatching)
        return ownView != StoreView::Unresponsive;
    bool isAnyWithoutStore = false;
    for (const auto& [id, peer] : peers) {
        if (!isReporting(now, peer))
            continue;
        if (peer.store == StoreView::Responding)
            return true;
        isAnyWithoutStore |= peer.store == StoreView::Unresponsive;
    }
    return !isAnyWithoutStore;
}

}
