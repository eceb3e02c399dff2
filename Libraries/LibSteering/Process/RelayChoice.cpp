#include <LibSteering/Process/RelayChoice.h>

#include <LibSteering/Process/DisseminationTimes.h>
#include <algorithm>
#include <tuple>

namespace Steering {

namespace {

    /// If no other peer holds the records, the same one is asked again. The interval doubles up to the longest.
    constexpr Base::milliseconds firstRetryInterval { 100 };
    constexpr Base::milliseconds longestRetryInterval { 1600 };
    constexpr uint32_t maximumDoublings = 4;

    /// Peers to which a fetch failed within this time are asked after all others.
    constexpr Base::milliseconds failureLifetime { 10'000 };

    /// Peers report several times a second; one without reports for this long has left or cannot be reached.
    constexpr Base::milliseconds candidateLifetime { 10'000 };

}

void RelayChoice::discardOld(Base::TimePoint now, Base::StorePosition own)
{
    std::erase_if(candidates_, [&](const auto& entry) {
        return entry.second.position <= own || now - entry.second.reportedAt > candidateLifetime;
    });
    std::erase_if(failures_, [&](const auto& entry) { return now - entry.second.at > failureLifetime; });
    for (auto& [peer, candidate] : candidates_) {
        if (candidate.lackedPosition > own)
            continue;
        candidate.lackedPosition = candidate.position;
        candidate.lackedSince = now;
    }
}

bool RelayChoice::handleReport(
    Base::TimePoint now, Base::EntryVmId peer, Base::StorePosition position, bool isUrgent, Base::StorePosition own)
{
    discardOld(now, own);
    if (position <= own)
        return false;
    const auto [found, isNew] = candidates_.try_emplace(
        peer, Candidate { .isUrgent = isUrgent, .lackedPosition = position, .lackedSince = now });
    auto& candidate = found->second;
    const bool isMoreUrgent = isUrgent && !candidate.isUrgent;
    candidate.position = std::max(candidate.position, position);
    candidate.isUrgent = isUrgent;
    candidate.reportedAt = now;
    return isNew || isMoreUrgent;
}

Base::TimePoint RelayChoice::dueAt(Base::EntryVmId peer, const Candidate& candidate) const
{
    const auto due
        = candidate.isUrgent ? candidate.lackedSince : candidate.lackedSince + DisseminationTimes::farRelayDelay;
    const auto failure = failures_.find(peer);
    if (failure == failures_.end())
        return due;
    const auto doublings = std::min(failure->second.count - 1, maximumDoublings);
    const auto pause = std::min(longestRetryInterval, firstRetryInterval * (1 << doublings));
    return std::max<Base::TimePoint>(due, failure->second.at + pause);
}

std::optional<RelayChoice::Fetch> RelayChoice::next(Base::TimePoint now, Base::StorePosition own)
{
    discardOld(now, own);
    // Smaller is better: the earliest, one that has not failed, a near one, the newest.
    using Order = std::tuple<Base::TimePoint, uint32_t, bool, uint64_t, uint64_t>;
    std::optional<Fetch> best;
    Order bestOrder;
    uint64_t equals = 0;
    for (const auto& [peer, candidate] : candidates_) {
        const auto due = dueAt(peer, candidate);
        const auto failure = failures_.find(peer);
        const Order order { std::max(due, now), failure != failures_.end() ? failure->second.count : 0,
            !candidate.isUrgent, ~candidate.position.era, ~candidate.position.revision };
        if (best && order > bestOrder)
            continue;
        equals = best && order == bestOrder ? equals + 1 : 1;
        bestOrder = order;
        // A random choice among equal peers, so that not every entry VM of a domain fetches from the same one.
        if (equals == 1 || random_.below(equals) == 0)
            best = Fetch { .peer = peer, .dueAt = due };
    }
    return best;
}

void RelayChoice::handleFailure(Base::TimePoint now, Base::EntryVmId peer)
{
    auto& failure = failures_[peer];
    ++failure.count;
    failure.at = now;
}

}
