#include <LibSteering/Process/WarmUpAllowance.h>

#include <algorithm>

namespace Steering {

namespace {

    /// The limit holds in any second; a tenth more covers packets that are delayed unevenly on their way.
    constexpr Base::milliseconds window { 1100 };
    /// Two entry VMs with different lists may both take themselves for the chosen one of a server.
    constexpr double possibleHolders = 2;

}

std::size_t WarmUpAllowance::ownPart(
    BackendServerNumber number, double requestsPerSecond, const std::vector<Base::EntryVmId>& peers) const
{
    const double total = requestsPerSecond * options_.overshoot + options_.slack;
    // One more than are known: an entry VM that has just joined is not on every list.
    const auto evenPart = static_cast<std::size_t>(total / static_cast<double>(peers.size() + 2));
    if (evenPart > 0)
        return evenPart;
    const auto rank = [&](Base::EntryVmId id) { return Base::mix(id.value, number.value); };
    const bool isChosen = std::ranges::all_of(peers, [&](auto peer) { return rank(peer) < rank(options_.self); });
    return isChosen ? static_cast<std::size_t>(total / possibleHolders) : 0;
}

bool WarmUpAllowance::tryTake(Base::TimePoint now, BackendServerNumber number, double requestsPerSecond,
    const std::vector<Base::EntryVmId>& peers)
{
    auto& taken = taken_[number];
    while (!taken.empty() && now - taken.front() > window)
        taken.pop_front();
    if (taken.size() >= ownPart(number, requestsPerSecond, peers))
        return false;
    taken.push_back(now);
    return true;
}

void WarmUpAllowance::expire(Base::TimePoint now)
{
    std::erase_if(
        taken_, [&](const auto& entry) { return entry.second.empty() || now - entry.second.back() > window; });
}

}
