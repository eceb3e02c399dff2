#include <LibSteering/Process/WatcherChoice.h>

#include <LibSteering/Process/PeerTopology.h>

namespace Steering {

namespace {

    /// Reports come every 100 ms in a small failure domain and every 400 ms in the largest, so that three in a row are
    /// missing at least.
    constexpr Base::milliseconds silenceOfWatcher { 1200 };

    /// Entry VMs that try in place of watchers that the store does not answer.
    constexpr std::size_t substitutes = 2;

    bool isHeard(Base::TimePoint now, const PeerLoads::Peer& peer)
    {
        return peer.heardAt != Base::TimePoint {} && now - peer.heardAt <= silenceOfWatcher;
    }

}

bool WatcherChoice::isWatcher(
    Base::TimePoint now, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>& peers) const
{
    const auto ownRank = PeerTopology::rankOf(options_.self, options_.linkMegabits);
    std::size_t ahead = 0;
    std::size_t silentAhead = 0;
    for (const auto& [id, peer] : peers) {
        const bool isAhead = peer.failureDomain == options_.failureDomain && isHeard(now, peer)
            && PeerTopology::rankOf(id, peer.linkMegabits) < ownRank;
        ahead += isAhead ? 1 : 0;
        silentAhead += isAhead && peer.store == StoreView::Silent ? 1 : 0;
    }
    // The store may turn away single entry VMs; while it answers nobody, only a few keep trying.
    return ahead - silentAhead < options_.watchersPerDomain && ahead < options_.watchersPerDomain + substitutes;
}

bool WatcherChoice::isStoreAnswering(
    Base::TimePoint now, StoreView ownView, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>& peers)
{
    if (ownView != StoreView::NotWatching)
        return ownView == StoreView::Answers;
    bool isAnySilent = false;
    for (const auto& [id, peer] : peers) {
        if (!isHeard(now, peer))
            continue;
        if (peer.store == StoreView::Answers)
            return true;
        isAnySilent |= peer.store == StoreView::Silent;
    }
    return !isAnySilent;
}

}
