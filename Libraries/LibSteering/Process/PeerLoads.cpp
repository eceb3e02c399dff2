#include <LibSteering/Process/PeerLoads.h>

namespace Steering {

namespace {

    /// Ten consecutive lost reports; requests rarely take longer.
    constexpr Base::milliseconds reportLifetime { 1000 };

}

void PeerLoads::addOrUpdate(Base::TimePoint now, const PeerListed& event)
{
    const auto [found, isNew] = peers_.try_emplace(event.peer);
    auto& peer = found->second;
    if (isNew)
        peer.listedAt = now;
    peer.failureDomain = event.failureDomain;
    peer.reports = event.reports;
    peer.linkMegabits = event.linkMegabits;
}

void PeerLoads::remove(Base::EntryVmId id)
{
    const auto found = peers_.find(id);
    if (found == peers_.end())
        return;
    subtract(found->second);
    peers_.erase(found);
}

void PeerLoads::subtract(Peer& peer)
{
    for (const auto& load : peer.loads) {
        const auto index = servers_.find(load.number);
        if (!index)
            continue;
        auto& counted = servers_.at(*index).peersInFlight;
        counted -= std::min(counted, load.inFlight);
    }
    peer.loads.clear();
}

bool PeerLoads::accept(Base::TimePoint now, const LoadReport& report)
{
    const auto found = peers_.find(report.sender);
    if (found == peers_.end() || report.sequence <= found->second.sequence)
        return false;
    auto& peer = found->second;
    subtract(peer);
    peer.sequence = report.sequence;
    peer.position = report.position;
    peer.store = report.store;
    peer.lastReportAt = now;
    peer.demands = report.demands;
    for (const auto& load : report.loads) {
        const auto index = servers_.find(load.number);
        if (!index)
            continue;
        servers_.at(*index).peersInFlight += load.inFlight;
        peer.loads.push_back(load);
    }
    return true;
}

void PeerLoads::expire(Base::TimePoint now)
{
    for (auto& [id, peer] : peers_) {
        if (!peer.loads.empty() && now - peer.lastReportAt > reportLifetime)
            subtract(peer);
    }
}

}
