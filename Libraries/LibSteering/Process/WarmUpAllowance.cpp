#include <LibSteering/Process/WarmUpAllowance.h>

#include <algorithm>

namespace Steering {

namespace {

    /// The limit holds in any second; a tenth more allows for packets with different delays.
    constexpr Base::milliseconds rateWindow { 1100 };
    /// Two entry VMs with different lists of peers may both consider themselves the selected one for a server.
    constexpr double maximumSelectedEntryVms = 2;

}

std::size_t WarmUpAllowance::ownShare(
    BackendServerNumber number, double requestsPerSecond, const std::vector<Base::EntryVmId>& peers) const
{
    const double total = requestsPerSecond * options_.overshoot + options_.slack;
    // One more than the known entry VMs: one that has just joined is not on every list.
    const auto evenShare = static_cast<std::size_t>(total / static_cast<double>(peers.size() + 2));
    if (evenShare > 0)
        return evenShare;
    const auto rank = [&](Base::EntryVmId id) { return Base::mix(id.value, number.value); };
    const bool isSelected = std::ranges::all_of(peers, [&](auto peer) { return rank(peer) < rank(options_.self); });
    return isSelected ? static_cast<std::size_t>(total / maximumSelectedEntryVms) : 0;
}

bool WarmUpAllowance::tryConsume(Base::TimePoint now, BackendServerNumber number, double requestsPerSecond,
    const std::vector<Base::EntryVmId>& peers)
{
    auto& recent = recentFirstPackets_[number];
    while (!recent.empty() && now - recent.front() > rateWindow)
        recent.pop_front();
    if (recent.size() >= ownShare(number, requestsPerSecond, peers))
        return false;
    recent.push_back(now);
    return true;
}

void WarmUpAllowance::expire(Base::TimePoint now)
{
    std::erase_if(recentFirstPackets_,
        [&](const auto& entry) { return entry.second.empty() || now - entry.second.back() > rateWindow; });
}

}
