#include <LibSteering/Process/PeerTopology.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace Steering {

namespace {

    /// Three reports a second to 32 peers are about 10 kB/s, of 25 kB/s that control may use.
    constexpr std::size_t largestUnpartedDomain = 32;
    /// Members of a cell on average, at most; hashing makes some of them half as large again.
    constexpr std::size_t cellMembers = 20;
    constexpr std::size_t treeChildren = 12;
    /// Reports to another failure domain when it is large: enough to be heard there if one is lost.
    constexpr std::size_t counterparts = 2;

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
    const auto place = static_cast<std::size_t>(std::ranges::find(own, options_.self, &Ranked::second) - own.begin());
    cellCount_ = 1;
    while (own.size() > largestUnpartedDomain && own.size() / cellCount_ > cellMembers)
        cellCount_ *= 2;

    std::unordered_set<Base::EntryVmId> near;
    for (std::size_t index = 0; index < own.size(); ++index) {
        const auto id = own[index].second;
        const bool isChild = index > place * treeChildren && index <= (place + 1) * treeChildren;
        if (id != options_.self && (cellCount_ == 1 || isChild || cellOf(id) == cellOf(options_.self)))
            near.insert(id);
    }
    nearTargets_.assign(near.begin(), near.end());

    farTargets_.clear();
    for (const auto& [name, members] : domains) {
        if (name == options_.failureDomain)
            continue;
        const auto count = members.size() > largestUnpartedDomain ? counterparts : members.size();
        for (std::size_t index = 0; index < count; ++index)
            farTargets_.push_back(members[(place + index) % members.size()].second);
    }
}

}
