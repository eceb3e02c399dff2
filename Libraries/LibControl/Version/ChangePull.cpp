#include <LibControl/Version/ChangePull.h>

#include <algorithm>

namespace Control {

using Base::TimePoint;

namespace {

    constexpr std::size_t maximumPeers = 6;
    /// Minimum and maximum additional random delay before a lagging node requests changes.
    constexpr Base::milliseconds lagPullDelay { 250 };
    constexpr uint64_t maximumLagPullJitterMilliseconds = 500;
    /// A node without a configuration waits this long for several peers to respond, and then uses the newest.
    constexpr Base::milliseconds initialPullDelay { 400 };
    constexpr Base::milliseconds responseTimeout { 1000 };

}

void ChangePull::recordNewerPeer(TimePoint now, EntryVmId peer, Revision revision, bool isEmpty)
{
    std::erase_if(peers_, [&](const Peer& known) { return known.id == peer; });
    const auto place
        = std::find_if(peers_.begin(), peers_.end(), [&](const Peer& known) { return known.revision <= revision; });
    peers_.insert(place, Peer { .id = peer, .revision = revision });
    if (peers_.size() > maximumPeers)
        peers_.pop_back();
    if (nextRequestAt_)
        return;
    const auto jitter = Base::milliseconds(random_.below(maximumLagPullJitterMilliseconds));
    nextRequestAt_ = now + (isEmpty ? initialPullDelay : lagPullDelay + jitter);
}

void ChangePull::clear()
{
    peers_.clear();
    nextRequestAt_.reset();
}

std::optional<EntryVmId> ChangePull::nextPeer(TimePoint now)
{
    if (!nextRequestAt_ || now < *nextRequestAt_ || peers_.empty())
        return std::nullopt;
    nextRequestAt_ = now + responseTimeout;
    const auto peer = peers_.front();
    std::rotate(peers_.begin(), peers_.begin() + 1, peers_.end());
    return peer.id;
}

void ChangePull::retryNow(TimePoint now)
{
    if (nextRequestAt_)
        nextRequestAt_ = now;
}

void ChangePull::removePeer(EntryVmId peer)
{
    std::erase_if(peers_, [&](const Peer& known) { return known.id == peer; });
}

std::vector<EntryVmId> ChangePull::peers() const
{
    std::vector<EntryVmId> ids;
    for (const auto& peer : peers_)
        ids.push_back(peer.id);
    return ids;
}

}
