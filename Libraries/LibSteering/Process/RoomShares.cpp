#include <LibSteering/Process/RoomShares.h>

#include <algorithm>
#include <tuple>

namespace Steering {

namespace {

    /// Weight of a reported request, in units of a member's part of the mean demand: a member that reports nothing
    /// keeps a fifth of an even share.
    constexpr uint64_t demandWeight = 4;

    struct Place {
        uint64_t domain { 0 };
        uint32_t layer { 0 };
        BackendServerNumber number;

        /// Neighbouring places are at different servers, so that a member does not depend on a single one.
        auto order() const { return std::tuple(domain, layer, Base::mix(number.value), number); }
    };

    std::vector<Place> sortedPlaces(const std::vector<RoomShares::PlacesOfServer>& servers)
    {
        std::vector<Place> places;
        for (const auto& server : servers) {
            for (uint32_t layer = 0; layer < server.places; ++layer)
                places.push_back({ .domain = server.domain, .layer = layer, .number = server.number });
        }
        std::ranges::sort(places, {}, &Place::order);
        return places;
    }

}

RoomShares::OwnPlaces RoomShares::divide(
    Base::EntryVmId self, std::vector<Member> members, const std::vector<PlacesOfServer>& servers)
{
    std::ranges::sort(members, {},
        [](const Member& member) { return std::tuple(member.domain, Base::mix(member.id.value), member.id.value); });
    uint64_t totalDemand = 0;
    for (const auto& member : members)
        totalDemand += member.demand;
    const auto baseWeight = std::max<uint64_t>(1, totalDemand / std::max<std::size_t>(1, members.size()));
    uint64_t totalWeight = 0;
    uint64_t begin = 0;
    uint64_t end = 0;
    for (const auto& member : members) {
        const auto weight = baseWeight + demandWeight * member.demand;
        if (member.id == self) {
            begin = totalWeight;
            end = totalWeight + weight;
        }
        totalWeight += weight;
    }
    // Systematic sampling: the middle of each place, on the scale of the weights, falls into one member's interval.
    const auto places = sortedPlaces(servers);
    const auto scale = 2 * static_cast<uint64_t>(places.size());
    OwnPlaces own;
    for (std::size_t index = 0; index < places.size(); ++index) {
        const auto middle = (2 * index + 1) * totalWeight;
        if (middle >= begin * scale && middle < end * scale)
            ++own[places[index].number];
    }
    return own;
}

}
