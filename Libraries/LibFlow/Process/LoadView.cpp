#include <LibFlow/Process/LoadView.h>

namespace Flow {

namespace {

    uint32_t freeCapacityOf(const LoadDigest& digest, bool needsSlot)
    {
        return needsSlot ? std::min(digest.freeSlots, digest.freeConnections) : digest.freeConnections;
    }

}

void LoadView::update(TimePoint now, EntryVmId peer, const LoadDigest& digest)
{
    digests_[digest.service][peer] = { .digest = digest, .receivedAt = now };
}

void LoadView::removePeer(EntryVmId peer)
{
    for (auto& [service, byPeer] : digests_)
        byPeer.erase(peer);
}

void LoadView::deductCapacity(EntryVmId peer, ServiceId service)
{
    auto& digest = digests_[service][peer].digest;
    digest.freeSlots -= digest.freeSlots > 0 ? 1 : 0;
    digest.freeConnections -= digest.freeConnections > 0 ? 1 : 0;
    ++digest.connections;
}

void LoadView::markExhausted(EntryVmId peer, ServiceId service)
{
    auto& digest = digests_[service][peer].digest;
    digest.freeSlots = 0;
    digest.freeConnections = 0;
}

LoadDigest LoadView::sum(TimePoint now, ServiceId service) const
{
    LoadDigest total { .service = service };
    auto found = digests_.find(service);
    if (found == digests_.end())
        return total;
    for (const auto& [peer, received] : found->second) {
        if (now - received.receivedAt > digestTimeout)
            continue;
        total.freeSlots += received.digest.freeSlots;
        total.freeConnections += received.digest.freeConnections;
        total.connections += received.digest.connections;
        total.weight += received.digest.weight;
        total.servers += received.digest.servers;
        total.unhealthy += received.digest.unhealthy;
    }
    return total;
}

std::optional<LoadView::SpillTarget> LoadView::choose(
    TimePoint now, ServiceId service, bool needsSlot, uint64_t random) const
{
    return pick(
        now, service, [needsSlot](const LoadDigest& digest) { return freeCapacityOf(digest, needsSlot); }, random);
}

std::optional<LoadView::SpillTarget> LoadView::chooseBelow(
    TimePoint now, ServiceId service, bool needsSlot, double meanLoad, uint64_t random) const
{
    auto missing = [needsSlot, meanLoad](const LoadDigest& digest) {
        double deficit = meanLoad * digest.weight - digest.connections;
        return deficit < 1 ? 0 : std::min(freeCapacityOf(digest, needsSlot), static_cast<uint32_t>(deficit));
    };
    return pick(now, service, missing, random);
}

std::optional<LoadView::SpillTarget> LoadView::pick(
    TimePoint now, ServiceId service, const FreeCapacityOf& freeCapacity, uint64_t random) const
{
    auto found = digests_.find(service);
    if (found == digests_.end())
        return std::nullopt;
    auto currentCapacity = [&](const ReceivedDigest& received) {
        return now - received.receivedAt > digestTimeout ? 0 : freeCapacity(received.digest);
    };
    uint64_t total = 0;
    for (const auto& [peer, received] : found->second)
        total += currentCapacity(received);
    if (total == 0)
        return std::nullopt;
    uint64_t rest = random % total;
    for (const auto& [peer, received] : found->second) {
        uint32_t share = currentCapacity(received);
        if (rest < share)
            return SpillTarget { .peer = peer, .server = received.digest.best };
        rest -= share;
    }
    return std::nullopt;
}

}
