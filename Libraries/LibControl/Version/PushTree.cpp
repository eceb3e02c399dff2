#include <LibControl/Version/PushTree.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <limits>

namespace Control {

namespace {

    struct PositionedMember {
        uint64_t position { 0 };
        EntryVmId id;

        auto operator<=>(const PositionedMember&) const = default;
    };

    std::vector<PositionedMember> positionMembers(
        EntryVmId self, const std::vector<EntryVmId>& members, const RingRange& range)
    {
        std::vector<PositionedMember> positioned;
        for (const auto id : members) {
            const auto position = ringPosition(range, id);
            if (id != self && position >= range.begin && position <= range.end)
                positioned.push_back({ .position = position, .id = id });
        }
        std::sort(positioned.begin(), positioned.end());
        return positioned;
    }

    /// The start of the range after this node, unless this node knows members before itself in the range.
    uint64_t firstPosition(EntryVmId self, const RingRange& range, const PositionedMember& first)
    {
        const auto ownPosition = ringPosition(range, self);
        return ownPosition >= range.begin && ownPosition < first.position ? ownPosition + 1 : range.begin;
    }

}

uint64_t ringPosition(const RingRange& range, EntryVmId id) { return Base::mix(range.seed, id.value) - range.origin; }

RingRange wholeRing(uint64_t seed, EntryVmId root)
{
    return { .seed = seed,
        .origin = Base::mix(seed, root.value) + 1,
        .begin = 0,
        .end = std::numeric_limits<uint64_t>::max() - 1 };
}

std::vector<PushDelegate> chooseDelegates(EntryVmId self, const std::vector<EntryVmId>& members, const RingRange& range,
    uint32_t fanOut, const std::function<bool(EntryVmId)>& isUsable)
{
    const auto positioned = positionMembers(self, members, range);
    const auto parts = std::min<std::size_t>(fanOut, positioned.size());
    std::vector<PushDelegate> delegates;
    for (std::size_t part = 0; part < parts; ++part) {
        const auto first = positioned.size() * part / parts;
        const auto last = positioned.size() * (part + 1) / parts;
        auto selected = first;
        while (selected + 1 < last && !isUsable(positioned[selected].id))
            ++selected;
        auto partRange = range;
        partRange.begin = part == 0 ? firstPosition(self, range, positioned.front()) : positioned[first].position;
        partRange.end = part + 1 == parts ? range.end : positioned[last].position - 1;
        delegates.push_back({ .to = positioned[selected].id, .range = partRange });
    }
    return delegates;
}

}
