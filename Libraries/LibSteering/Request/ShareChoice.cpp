#include <LibSteering/Request/ShareChoice.h>

#include <LibSteering/Process/Room.h>
#include <algorithm>
#include <limits>

namespace Steering {

namespace {

    /// Load reports are sent every 200 ms: earlier, the counts of the peers are still those of the full service.
    constexpr Base::milliseconds minimumDiversionTime { 250 };
    /// A service without room gets its flows back once one in this many of its sound servers has a place.
    constexpr uint32_t regainedRoomDivisor = 8;

}

std::string_view toString(ShareDiversion diversion)
{
    switch (diversion) {
    case ShareDiversion::None:
        return "none";
    case ShareDiversion::NoServer:
        return "no_server";
    case ShareDiversion::NoRoom:
        return "no_room";
    }
    return "unknown";
}

bool ShareChoice::hasPlace(Base::TimePoint now, const Server& server) const
{
    if (options_.hasPlace)
        return options_.hasPlace(now, server);
    return Room::isPlaceFree(server.entry.slots, server.inFlight());
}

ShareChoice::ServerCounts ShareChoice::countServers(
    Base::TimePoint now, ServiceIndex service, const Requirements& requirements, uint32_t maximumWithPlace) const
{
    ServerCounts counts;
    for (const auto index : servers_.serversOf(service)) {
        const auto& server = servers_.at(index);
        if (!choice_.isSound(now, server) || (requirements.isForbidden && requirements.isForbidden(server)))
            continue;
        ++counts.soundServers;
        counts.serversWithPlace += hasPlace(now, server) ? 1 : 0;
        if (counts.serversWithPlace >= maximumWithPlace)
            return counts;
    }
    return counts;
}

ShareChoice::Condition ShareChoice::condition(
    Base::TimePoint now, const ServiceOfRoute& key, const Requirements& requirements)
{
    const auto found = withoutRoom_.find(key);
    const bool wasFull = found != withoutRoom_.end();
    const bool isRoomExamined = !wasFull || now >= found->second;
    // While there is room, the first server with a place suffices.
    const auto limit = wasFull && isRoomExamined ? std::numeric_limits<uint32_t>::max() : 1;
    const auto counts = countServers(now, key.second, requirements, limit);
    if (counts.soundServers == 0)
        return Condition::NoSoundServer;
    if (!isRoomExamined)
        return Condition::Full;
    const bool hasRoom = counts.serversWithPlace > 0
        && (!wasFull || counts.serversWithPlace * regainedRoomDivisor >= counts.soundServers);
    if (!hasRoom) {
        withoutRoom_[key] = now + minimumDiversionTime;
        return Condition::Full;
    }
    if (wasFull)
        withoutRoom_.erase(found);
    return Condition::HasRoom;
}

std::optional<Choice> ShareChoice::chooseServer(
    Base::TimePoint now, const RouteTable::Share& share, const Requirements& requirements)
{
    const auto isExcluded = [&](const Server& server) {
        return (requirements.isExcluded && requirements.isExcluded(server))
            || (requirements.isForbidden && requirements.isForbidden(server));
    };
    return choice_.choose(now,
        { .service = share.service,
            .warmUpRequestsPerSecond = share.warmUpRequestsPerSecond,
            .isExcluded = isExcluded,
            .peers = requirements.peers });
}

std::optional<ShareChoice::ShareResult> ShareChoice::choose(Base::TimePoint now, const Packet::FlowKey& flow,
    const RouteTable::CompiledRoute& route, const Requirements& requirements)
{
    const auto* own = route.shareFor(flow);
    if (own == nullptr)
        return std::nullopt;
    const auto ownCondition = own->weight < route.totalWeight
        ? condition(now, { flow.service, own->service }, requirements)
        : Condition::HasRoom;
    if (ownCondition != Condition::HasRoom)
        return divert(now, flow, route, *own, ownCondition, requirements);
    const auto choice = chooseServer(now, *own, requirements);
    if (!choice)
        return std::nullopt;
    return ShareResult { .choice = *choice, .asked = own->service, .given = own->service };
}

std::optional<ShareChoice::ShareResult> ShareChoice::divert(Base::TimePoint now, const Packet::FlowKey& flow,
    const RouteTable::CompiledRoute& route, const RouteTable::Share& own, Condition ownCondition,
    const Requirements& requirements)
{
    const auto diversion = ownCondition == Condition::Full ? ShareDiversion::NoRoom : ShareDiversion::NoServer;
    const auto result = [&](const RouteTable::Share& share, const Choice& choice) {
        return ShareResult { .choice = choice,
            .asked = own.service,
            .given = share.service,
            .diversion = share.service == own.service ? ShareDiversion::None : diversion };
    };
    std::optional<Choice> ownSuspect;
    if (ownCondition == Condition::NoSoundServer) {
        const auto choice = chooseServer(now, own, requirements);
        if (choice && choice->tier != ChoiceTier::Suspect)
            return result(own, *choice);
        ownSuspect = choice;
    }
    const auto others = route.otherSharesFor(flow, own);
    std::vector<const RouteTable::Share*> full;
    std::vector<const RouteTable::Share*> unsound;
    for (const auto* share : others) {
        const auto otherCondition = condition(now, { flow.service, share->service }, requirements);
        if (otherCondition == Condition::HasRoom) {
            if (const auto choice = chooseServer(now, *share, requirements))
                return result(*share, *choice);
        }
        (otherCondition == Condition::NoSoundServer ? unsound : full).push_back(share);
    }
    // No service has room: a full server of the own share may still take the flow.
    if (ownCondition == Condition::Full)
        full.insert(full.begin(), &own);
    std::ranges::copy(unsound, std::back_inserter(full));
    std::optional<ShareResult> suspect;
    if (ownSuspect)
        suspect = result(own, *ownSuspect);
    for (const auto* share : full) {
        const auto choice = chooseServer(now, *share, requirements);
        if (choice && choice->tier != ChoiceTier::Suspect)
            return result(*share, *choice);
        if (choice && !suspect)
            suspect = result(*share, *choice);
    }
    return suspect;
}

}
