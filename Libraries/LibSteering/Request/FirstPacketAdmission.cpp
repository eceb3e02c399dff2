#include <LibSteering/Request/FirstPacketAdmission.h>

#include <algorithm>
#include <cstring>

namespace Steering {

namespace {

    /// A first packet waits for at most this fraction (1/4) of its latency objective, so that it can still be served.
    constexpr int waitDivisor = 4;
    /// Callers send the last copy of a first packet after 600 ms.
    constexpr Base::milliseconds maximumWait { 500 };
    /// Limit of the waiting first packets of a class, per own place: a place becomes free every 30 to 100 ms, and
    /// objectives of 400 ms allow 100 ms of waiting.
    constexpr std::size_t waitingPerPlace = 2;
    constexpr std::size_t minimumWaiting = 2;
    /// About 200 bytes each: 13 KB.
    constexpr std::size_t maximumWaiting = 64;
    /// While more important first packets take places, one in this many goes to a less important one that waits, so
    /// that no class starves.
    constexpr uint32_t admissionsPerLessImportant = 10;
    /// The sum over a service's servers is determined at most this often.
    constexpr Base::milliseconds updateInterval { 25 };
    /// The places are divided again at most this often; peers report every 200 ms.
    constexpr Base::milliseconds divisionInterval { 200 };
    /// A peer without a report for this long counts as silent.
    constexpr Base::milliseconds reportLifetime { 1000 };
    /// Such a server has no places, whether or not it is tried again: entry VMs suspect it at different times.
    bool isSilent(const Server& server) { return server.consecutiveTimeouts > 1; }

    /// Silent servers look idle. While room is short, they are tried one at a time, so that few callers wait for them
    /// and their silence doesn't make the failure domain suspect.
    constexpr Base::milliseconds silentServerInterval { 500 };
    /// Lossy links lose one packet in twenty; above this share, servers are gone.
    constexpr double maximumSilentShare = 0.2;
    /// Weight of a new outcome: the first attempts of a fraction of a second count.
    constexpr double outcomeSmoothing = 0.0625;
    /// Hedged attempts, per thousand first attempts, at servers that respond to others.
    constexpr uint32_t hedgePermille = 100;

}

FirstPacketAdmission::FirstPacketAdmission(
    Options options, ServerTable& servers, ServerChoice& choice, const PeerLoads& peerLoads)
    : options_(std::move(options))
    , ownDomainHash_(Base::hashText(options_.failureDomain))
    , ownDomain_(servers.domainIndex(options_.failureDomain))
    , servers_(servers)
    , choice_(choice)
    , peerLoads_(peerLoads)
    , queue_(maximumWaiting)
{
}

bool FirstPacketAdmission::isCounted(Base::TimePoint now, const Server& server) const
{
    const bool isKnown
        = !options_.isLoadKnown || options_.isLoadKnown(server.entry.number, server.domain == ownDomain_);
    return isKnown && !isSilent(server) && choice_.isUsable(server) && !server.isCold(now);
}

uint32_t FirstPacketAdmission::waitingCountOf(ServiceIndex service) const
{
    std::size_t count = 0;
    for (const auto& id : queue_.subqueues())
        count += id.service == service ? queue_.waitingCount(id) : 0;
    return static_cast<uint32_t>(count);
}

FirstPacketAdmission::ServiceRoom& FirstPacketAdmission::updated(Base::TimePoint now, ServiceIndex service)
{
    auto& state = rooms_[service];
    if (state.room.updatedAt() != Base::TimePoint {} && now - state.room.updatedAt() < updateInterval)
        return state;
    Room::Load load;
    state.ownInFlight = 0;
    for (const auto index : servers_.serversOf(service)) {
        const auto& server = servers_.at(index);
        if (!isCounted(now, server))
            continue;
        // Back-off periods count as requests in flight; one server's are no shortage of all.
        const auto places = server.entry.slots * Room::placesPerSlot;
        load.places += places;
        load.inFlight += std::min(server.inFlight(), places);
        state.ownInFlight += server.ownInFlight;
    }
    load.unserved = waitingCountOf(service) + state.recentlyRejected;
    state.recentlyRejected /= 2;
    const bool wasShort = state.room.isShort();
    state.room.update(now, load);
    if (!state.room.isShort()) {
        state.demand = 0;
        return state;
    }
    state.demand = state.ownInFlight + load.unserved;
    if (!wasShort || now - state.dividedAt >= divisionInterval)
        divide(now, service, state);
    return state;
}

void FirstPacketAdmission::divide(Base::TimePoint now, ServiceIndex service, ServiceRoom& state)
{
    const auto key = ServiceKey::of(servers_.serviceName(service));
    std::vector<RoomShares::Member> members {
        { .id = options_.self, .domain = ownDomainHash_, .demand = state.demand }
    };
    bool isAnyHeard = false;
    for (const auto& [id, peer] : peerLoads_.peers()) {
        RoomShares::Member member { .id = id, .domain = Base::hashText(peer.failureDomain) };
        const bool isHeard = peer.lastReportAt != Base::TimePoint {} && now - peer.lastReportAt < reportLifetime;
        isAnyHeard |= isHeard;
        const auto demand = std::ranges::find(peer.demands, key, &ServiceDemand::service);
        if (isHeard && demand != peer.demands.end())
            member.demand = demand->requests;
        members.push_back(member);
    }
    // Without any report, all listed entry VMs count alike.
    if (!isAnyHeard)
        members.front().demand = 0;
    std::vector<RoomShares::PlacesOfServer> places;
    for (const auto index : servers_.serversOf(service)) {
        const auto& server = servers_.at(index);
        if (!isCounted(now, server))
            continue;
        places.push_back({ .number = server.entry.number,
            .domain = Base::hashText(server.entry.failureDomain),
            .places = server.entry.slots * Room::placesPerSlot });
    }
    state.ownPlaces = RoomShares::divide(options_.self, std::move(members), places);
    state.ownPlaceCount = 0;
    for (const auto& [number, count] : state.ownPlaces)
        state.ownPlaceCount += count;
    state.dividedAt = now;
}

bool FirstPacketAdmission::isRoomUnknown(const ServiceRoom& state) { return state.silentShare > maximumSilentShare; }

void FirstPacketAdmission::recordOutcome(ServiceIndex service, bool isAnswered)
{
    auto& share = rooms_[service].silentShare;
    share += ((isAnswered ? 0.0 : 1.0) - share) * outcomeSmoothing;
}

bool FirstPacketAdmission::isRequired(Base::TimePoint now, const TrafficClass& traffic, ServiceIndex service)
{
    if (traffic.latencyObjective <= Base::milliseconds(0))
        return false;
    const auto& state = updated(now, service);
    return state.room.isShort() && !isRoomUnknown(state);
}

const Room* FirstPacketAdmission::roomOf(ServiceIndex service) const
{
    const auto found = rooms_.find(service);
    return found != rooms_.end() ? &found->second.room : nullptr;
}

bool FirstPacketAdmission::isShort(ServiceIndex service) const
{
    const auto found = rooms_.find(service);
    return found != rooms_.end() && found->second.room.isShort() && !isRoomUnknown(found->second);
}

bool FirstPacketAdmission::hasRoom(Base::TimePoint now, const Server& server) const
{
    return isShort(server.service) ? hasPlace(now, server) : Room::isPlaceFree(server.entry.slots, server.inFlight());
}

bool FirstPacketAdmission::hasPlace(Base::TimePoint now, const Server& server) const
{
    const auto found = rooms_.find(server.service);
    if (found == rooms_.end())
        return false;
    const auto& state = found->second;
    // What a cold server gets is limited by its warm-up allowance instead.
    if (server.isCold(now))
        return true;
    if (now < server.suspectUntil)
        return false;
    if (isSilent(server))
        return now - state.silentTriedAt >= silentServerInterval;
    // With fewer places than entry VMs, some own none: they may have one request in flight at a server that, as far as
    // is known, has room.
    if (state.ownPlaceCount == 0)
        return state.ownInFlight == 0 && Room::isPlaceFree(server.entry.slots, server.inFlight());
    const auto own = state.ownPlaces.find(server.entry.number);
    if (own == state.ownPlaces.end())
        return false;
    // Back-off periods take places, but not the last one: rejections of a full server may have caused them.
    const auto backOffs = std::min(server.ownBackOffs, own->second - 1);
    return server.ownInFlight < own->second - backOffs + server.ownBackOffs;
}

bool FirstPacketAdmission::isNext(ServiceIndex service, uint32_t priority) const
{
    const auto ids = queue_.subqueues();
    return std::ranges::none_of(ids, [&](const auto& id) { return id.service == service && ~id.urgency <= priority; });
}

void FirstPacketAdmission::recordAdmitted(Base::TimePoint now, const Server& server, uint32_t priority)
{
    const auto service = server.service;
    auto& state = rooms_[service];
    if (isSilent(server))
        state.silentTriedAt = now;
    // The count of the last update misses this one; an entry VM without places may have a single request in flight.
    ++state.ownInFlight;
    const auto ids = queue_.subqueues();
    const bool isLessImportantWaiting
        = std::ranges::any_of(ids, [&](const auto& id) { return id.service == service && ~id.urgency > priority; });
    state.admittedAhead = isLessImportantWaiting ? state.admittedAhead + 1 : 0;
}

std::optional<WaitingFirstPacket> FirstPacketAdmission::wait(Base::TimePoint now, const PacketView& packet,
    const TrafficClass& traffic, ServiceIndex service, std::span<const std::byte> bytes)
{
    WaitingFirstPacket entry { .key = packet.flow,
        .service = service,
        .priority = traffic.priority,
        .deadline = now + std::min(traffic.latencyObjective / waitDivisor, maximumWait),
        .sequence = packet.sequence };
    const auto limit = std::max(minimumWaiting, rooms_[service].ownPlaceCount * waitingPerPlace);
    if (bytes.size() != entry.bytes.size() || queue_.waitingCount(entry.subqueueId()) >= limit)
        return entry;
    std::memcpy(entry.bytes.data(), bytes.data(), bytes.size());
    cancel(packet.flow);
    return queue_.push(entry);
}

void FirstPacketAdmission::recordRejected(ServiceIndex service) { ++rooms_[service].recentlyRejected; }

std::vector<WaitingFirstPacket> FirstPacketAdmission::candidates() const
{
    std::vector<WaitingFirstPacket> first;
    for (const auto& id : queue_.subqueues()) {
        for (const auto& entry : queue_.front(id, 1))
            first.push_back(entry);
    }
    std::ranges::stable_sort(first, [&](const auto& left, const auto& right) {
        if (left.service != right.service)
            return left.service < right.service;
        const auto found = rooms_.find(left.service);
        const bool isLessImportantDue
            = found != rooms_.end() && found->second.admittedAhead >= admissionsPerLessImportant;
        return isLessImportantDue ? left.priority > right.priority : left.priority < right.priority;
    });
    return first;
}

void FirstPacketAdmission::recordFirstAttempt(ServiceIndex service)
{
    hedgeBudget_.recordFirstAttempt(service, hedgePermille);
}

bool FirstPacketAdmission::mayHedge(ServiceIndex service)
{
    return !isShort(service) && hedgeBudget_.tryConsume(service);
}

void FirstPacketAdmission::refresh(Base::TimePoint now)
{
    for (auto& [service, state] : rooms_) {
        if (state.room.isShort())
            updated(now, service);
    }
}

std::vector<ServiceDemand> FirstPacketAdmission::demands() const
{
    std::vector<ServiceDemand> demands;
    for (const auto& [service, state] : rooms_) {
        if (state.room.isShort())
            demands.push_back({ ServiceKey::of(servers_.serviceName(service)), state.demand });
    }
    return demands;
}

Room::Load FirstPacketAdmission::totalLoad() const
{
    Room::Load total;
    for (const auto& [service, state] : rooms_) {
        total.places += state.room.load().places;
        total.inFlight += state.room.load().inFlight;
        total.unserved += state.room.load().unserved;
    }
    return total;
}

std::size_t FirstPacketAdmission::shortServiceCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(rooms_, [](const auto& entry) { return entry.second.room.isShort(); }));
}

}
