#include <LibSteering/Process/WatcherChoice.h>

#include <utility>

namespace Steering {

namespace {

    /// Reports come every 100 ms in a failure domain, so that ten in a row are missing.
    constexpr Base::milliseconds silenceOfWatcher { 1000 };

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
    const std::pair ownRank(-static_cast<int64_t>(options_.linkMegabits), Base::mix(options_.self.value));
    std::size_t ahead = 0;
    std::size_t silentAhead = 0;
    for (const auto& [id, peer] : peers) {
        const bool isAhead = peer.failureDomain == options_.failureDomain && isHeard(now, peer)
            && std::pair(-static_cast<int64_t>(peer.linkMegabits), Base::mix(id.value)) < ownRank;
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
