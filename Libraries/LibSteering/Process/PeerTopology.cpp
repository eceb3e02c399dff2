#include <LibSteering/Process/PeerTopology.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace Steering {

namespace {

    /// Three reports a second to 32 peers take about 10 kB/s of the 25 kB/s allowed for control traffic.
    constexpr std::size_t maximumUnpartitionedDomainSize = 32;
    /// Limit of the mean cell size; hashing makes some cells half as large again.
    constexpr std::size_t maximumMeanCellSize = 20;
    constexpr std::size_t treeFanOut = 12;
    /// Report targets in another failure domain when it is large: enough if one report is lost.
    constexpr std::size_t largeDomainTargetCount = 2;

    using Ranked = std::pair<PeerTopology::Rank, Base::EntryVmId>;

}

void PeerTopology::update(const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>& peers)
{
    std::unordered_map<std::string_view, std::vector<Ranked>> domains;
    domains[options_.failureDomain].emplace_back(rankOf(options_.self, options_.linkMegabits), options_.self);
    for (const auto& [id, peer] : peers)
        domains[peer.failureDomain].emplace_back(rankOf(id, peer.linkMegabits), id);
    for (auto& [name, members] : domains)
        std::sort(members.begin(), members.end());

    const auto& own = domains[options_.failureDomain];
    const auto ownPosition
        = static_cast<std::size_t>(std::ranges::find(own, options_.self, &Ranked::second) - own.begin());
    cellCount_ = 1;
    while (own.size() > maximumUnpartitionedDomainSize && own.size() / cellCount_ > maximumMeanCellSize)
        cellCount_ *= 2;

    std::unordered_set<Base::EntryVmId> targets;
    for (std::size_t index = 0; index < own.size(); ++index) {
        const auto id = own[index].second;
        const bool isChild = index > ownPosition * treeFanOut && index <= (ownPosition + 1) * treeFanOut;
        if (id != options_.self && (cellCount_ == 1 || isChild || cellOf(id) == cellOf(options_.self)))
            targets.insert(id);
    }
    ownDomainTargets_.assign(targets.begin(), targets.end());

    otherDomainTargets_.clear();
    for (const auto& [name, members] : domains) {
        if (name == options_.failureDomain)
            continue;
        const auto count = members.size() > maximumUnpartitionedDomainSize ? largeDomainTargetCount : members.size();
        for (std::size_t index = 0; index < count; ++index)
            otherDomainTargets_.push_back(members[(ownPosition + index) % members.size()].second);
    }
}

}
