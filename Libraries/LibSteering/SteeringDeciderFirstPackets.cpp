// How first packets get a backend server: at once, after waiting for room, or by a hedged attempt.

#include <LibSteering/SteeringDecider.h>

#include <algorithm>

namespace Steering {

namespace {

    /// A single lost packet does not make a server suspect if it completed a handshake this recently.
    constexpr Base::milliseconds recentHandshakeLimit { 1000 };
    constexpr Base::milliseconds minimumSuspicionTime { 500 };
    constexpr Base::milliseconds maximumSuspicionTime { 4000 };
    /// After a suspicion, one first packet at a time probes the server; the response to it takes less than this.
    constexpr Base::milliseconds probeTimeout { 200 };

}

bool SteeringDecider::isInAllowedRegion(const CompiledRoute& route, const Server& server) const
{
    if (route.regions.empty())
        return true;
    const auto region = options_.regions.find(server.entry.failureDomain);
    return region != options_.regions.end() && std::ranges::find(route.regions, region->second) != route.regions.end();
}

bool SteeringDecider::hasUsableServer(const CompiledRoute& route, ServiceIndex service) const
{
    return std::ranges::any_of(servers_.serversOf(service), [&](ServerIndex index) {
        const auto& server = servers_.at(index);
        return choice_.isUsable(server) && isInAllowedRegion(route, server);
    });
}

std::optional<ShareChoice::ShareResult> SteeringDecider::choose(Base::TimePoint now, const Packet::FlowKey& flow,
    const CompiledRoute& route, const FlowRecord& record, bool needsPlace)
{
    const auto isForbidden = [&](const Server& server) { return !isInAllowedRegion(route, server); };
    const auto isExcluded = [&](const Server& server) {
        return record.wasAttemptedAt(server.entry.number) || (needsPlace && !admission_.hasRoom(now, server));
    };
    const auto result = shareChoice_.choose(
        now, flow, route, { .isForbidden = isForbidden, .isExcluded = isExcluded, .peers = &peerIds_ });
    if (result)
        ++statistics_.shareDiversions[static_cast<std::size_t>(result->diversion)];
    return result;
}

Verdict SteeringDecider::startAttempt(
    Base::TimePoint now, const Packet::FlowKey& flow, FlowRecord& record, const Choice& choice)
{
    auto& server = servers_.at(choice.server);
    reachability_.recordAttempt(now, server.domain);
    if (server.consecutiveTimeouts >= Server::timeoutsOfSuspect)
        server.suspectUntil = std::max(server.suspectUntil, now + probeTimeout);
    FlowProgress::recordAttempt(record, server);
    record.lastAttemptAt = now;
    record.stallTimeAtLastAttempt = totalStallTime_;
    ++statistics_.chosen[static_cast<std::size_t>(choice.tier)];
    return forwardFirstPacket(server, flow, record);
}

Verdict SteeringDecider::decideFirstPacket(
    Base::TimePoint now, const PacketView& packet, const CompiledRoute& route, std::span<const std::byte> bytes)
{
    auto* record = flows_.find(packet.flow);
    if (record != nullptr && (record->isAdopted || record->firstSequence != packet.sequence)) {
        // The caller has reused its port.
        progress_.stopCounting(*record);
        admission_.cancel(packet.flow);
        flows_.erase(packet.flow);
        record = nullptr;
    }
    if (record != nullptr && record->state != FlowState::Opening) {
        // A late retransmission: the flow's own server knows the flow.
        const auto index = servers_.find(record->server);
        return index ? forwardTo(servers_.at(*index), servers_.at(*index).confirmedToken)
                     : refuse(packet, Refusal::UnknownToken, VerdictKind::Drop);
    }
    if (record != nullptr) {
        ++statistics_.retransmissions;
        return decideRetransmission(now, packet, route, *record, bytes);
    }
    ++statistics_.firstPackets;
    record = flows_.add(now, packet.flow);
    statistics_.untracked += record == nullptr ? 1 : 0;
    if (record == nullptr && packet.acknowledged > 0)
        return refuse(packet, Refusal::FlowTableFull, VerdictKind::Drop);
    FlowRecord untracked;
    auto& tracked = record != nullptr ? *record : untracked;
    tracked.firstSequence = packet.sequence;
    tracked.firstSeen = now;
    tracked.lastSeen = now;
    auto verdict = decideNewFlow(now, packet, route, tracked, bytes);
    if (record == nullptr) {
        // Without a record, only a confirmed token opens the flow. No other server is offered it here.
        admission_.cancel(packet.flow);
        progress_.stopCounting(untracked);
        verdict.token = FlowToken::confirmed(verdict.number);
    } else if (verdict.kind == VerdictKind::Forward) {
        hedges_.add(now, totalStallTime_, packet, bytes);
    } else if (verdict.kind == VerdictKind::Reset) {
        flows_.erase(packet.flow);
    }
    return verdict;
}

Verdict SteeringDecider::decideNewFlow(Base::TimePoint now, const PacketView& packet, const CompiledRoute& route,
    FlowRecord& record, std::span<const std::byte> bytes)
{
    const auto* share = route.shareFor(packet.flow);
    if (share == nullptr)
        return refuse(packet, Refusal::NoServer, VerdictKind::Reset);
    admission_.recordFirstAttempt(share->service);
    const bool needsPlace = admission_.isRequired(now, route.traffic, share->service);
    const bool mayStart = !needsPlace || admission_.isNext(share->service, route.traffic.priority);
    const auto result = mayStart ? choose(now, packet.flow, route, record, needsPlace) : std::nullopt;
    if (!result) {
        return needsPlace && hasUsableServer(route, share->service)
            ? waitForRoom(now, packet, route.traffic, share->service, bytes)
            : refuse(packet, Refusal::NoServer, VerdictKind::Reset);
    }
    if (needsPlace) {
        ++statistics_.admittedWhileShort;
        admission_.recordAdmitted(now, servers_.at(result->choice.server), route.traffic.priority);
    }
    const auto verdict = startAttempt(now, packet.flow, record, result->choice);
    reportDecision(FlowDecision::Kind::Placed, packet.flow, record, now, &*result);
    return verdict;
}

Verdict SteeringDecider::decideRetransmission(Base::TimePoint now, const PacketView& packet, const CompiledRoute& route,
    FlowRecord& record, std::span<const std::byte> bytes)
{
    record.lastSeen = now;
    if (admission_.isWaiting(packet.flow))
        return { .kind = VerdictKind::Wait };
    recordAttemptTimeout(now, record);
    const auto* share = route.shareFor(packet.flow);
    const bool needsPlace = share != nullptr && admission_.isRequired(now, route.traffic, share->service);
    // While room is short, a server that responds to others is full, not dead: another one would be full, too.
    const bool mayTryAnother
        = record.attemptCount < maximumConnectionAttempts && !(needsPlace && isServerResponding(record));
    const auto result = mayTryAnother ? choose(now, packet.flow, route, record, needsPlace) : std::nullopt;
    if (!result) {
        // No further server can be tried; the last one may still respond.
        const auto last
            = record.attemptCount > 0 ? servers_.find(record.attemptedServers[record.attemptCount - 1]) : std::nullopt;
        if (last && choice_.isUsable(servers_.at(*last)))
            return forwardFirstPacket(servers_.at(*last), packet.flow, record);
        progress_.stopCounting(record);
        flows_.erase(packet.flow);
        return refuse(packet, Refusal::NoServer, VerdictKind::Reset);
    }
    const auto verdict = startAttempt(now, packet.flow, record, result->choice);
    reportDecision(FlowDecision::Kind::Retransmitted, packet.flow, record, now, &*result);
    hedges_.add(now, totalStallTime_, packet, bytes);
    return verdict;
}

Verdict SteeringDecider::waitForRoom(Base::TimePoint now, const PacketView& packet, const TrafficClass& traffic,
    ServiceIndex service, std::span<const std::byte> bytes)
{
    const auto displaced = admission_.wait(now, packet, traffic, service, bytes);
    if (displaced && displaced->key == packet.flow) {
        recordNoRoom(now, *displaced);
        return { .kind = VerdictKind::Reset, .refusal = Refusal::NoRoom };
    }
    ++statistics_.waitedForRoom;
    if (displaced)
        rejectWaiting(now, *displaced);
    return { .kind = VerdictKind::Wait };
}

void SteeringDecider::recordNoRoom(Base::TimePoint now, const WaitingFirstPacket& packet)
{
    ++statistics_.refused[static_cast<std::size_t>(Refusal::NoRoom)];
    ++statistics_.resets;
    const auto priorityClass = std::min<std::size_t>(packet.priority, statistics_.noRoomByPriority.size() - 1);
    ++statistics_.noRoomByPriority[priorityClass];
    admission_.recordRejected(packet.service);
    if (!options_.onDecision)
        return;
    const auto* record = flows_.find(packet.key);
    const auto* room = admission_.roomOf(packet.service);
    FlowDecision decision { .kind = FlowDecision::Kind::Refused,
        .flow = packet.key,
        .sequence = packet.sequence,
        .refusal = Refusal::NoRoom,
        .configurationVersion = configurationVersion(),
        .priority = packet.priority };
    if (record != nullptr)
        decision.age = std::chrono::duration_cast<Base::microseconds>(now - record->firstSeen);
    if (room != nullptr) {
        decision.room = room->load();
        decision.roomAge = std::chrono::duration_cast<Base::milliseconds>(now - room->updatedAt());
    }
    options_.onDecision(decision);
}

void SteeringDecider::rejectWaiting(Base::TimePoint now, const WaitingFirstPacket& packet)
{
    // A server that was attempted before may still respond.
    const auto* record = flows_.find(packet.key);
    if (record == nullptr || record->attemptCount > 0)
        return;
    recordNoRoom(now, packet);
    flows_.erase(packet.key);
    rejected_.push_back({ .flow = packet.key });
}

void SteeringDecider::dispatchWaiting(Base::TimePoint now, std::vector<HedgedAttempt>& dueAttempts)
{
    for (const auto& expired : admission_.removeExpired(now))
        rejectWaiting(now, expired);
    bool isAnyDispatched = admission_.waitingCount() > 0;
    while (isAnyDispatched) {
        // The next place may be owed to another class.
        const auto candidates = admission_.candidates();
        isAnyDispatched = std::ranges::any_of(
            candidates, [&](const WaitingFirstPacket& waiting) { return dispatch(now, waiting, dueAttempts); });
    }
}

bool SteeringDecider::dispatch(
    Base::TimePoint now, const WaitingFirstPacket& waiting, std::vector<HedgedAttempt>& dueAttempts)
{
    auto* record = flows_.find(waiting.key);
    if (record == nullptr || record->state != FlowState::Opening) {
        admission_.cancel(waiting.key);
        return true;
    }
    const auto* route = routes_.find(waiting.key.service);
    const auto* share = route != nullptr ? route->shareFor(waiting.key) : nullptr;
    if (share == nullptr) {
        admission_.cancel(waiting.key);
        rejectWaiting(now, waiting);
        return true;
    }
    const bool needsPlace = admission_.isRequired(now, route->traffic, share->service);
    const auto result = choose(now, waiting.key, *route, *record, needsPlace);
    if (!result)
        return false;
    admission_.cancel(waiting.key);
    ++statistics_.admittedWhileShort;
    admission_.recordAdmitted(now, servers_.at(result->choice.server), waiting.priority);
    const auto verdict = startAttempt(now, waiting.key, *record, result->choice);
    reportDecision(FlowDecision::Kind::Placed, waiting.key, *record, now, &*result);
    hedges_.add(now, totalStallTime_, { .flow = waiting.key, .sequence = waiting.sequence }, waiting.bytes);
    dueAttempts.push_back({ .bytes = waiting.bytes, .verdict = verdict });
    return true;
}

bool SteeringDecider::isServerResponding(const FlowRecord& record) const
{
    if (record.attemptCount == 0)
        return false;
    const auto index = servers_.find(record.attemptedServers[record.attemptCount - 1]);
    return index && servers_.at(*index).lastResponseAt > record.lastAttemptAt;
}

void SteeringDecider::recordAttemptTimeout(Base::TimePoint now, const FlowRecord& record)
{
    // A caller's retransmission may arrive while the response to its first packet is still unread.
    const auto elapsedWithoutStalls = now - record.lastAttemptAt - (totalStallTime_ - record.stallTimeAtLastAttempt);
    if (record.attemptCount == 0 || elapsedWithoutStalls < hedges_.delay())
        return;
    const auto index = servers_.find(record.attemptedServers[record.attemptCount - 1]);
    if (!index)
        return;
    auto& server = servers_.at(*index);
    // It is full, and its silence says nothing about it.
    if (admission_.isShort(server.service) && isServerResponding(record))
        return;
    ++statistics_.attemptTimeouts;
    admission_.recordOutcome(server.service, false);
    ++server.consecutiveTimeouts;
    stalledFlows_.recordAttemptTimeout(now, server);
    reachability_.recordTimeout(now, server.domain);
    readiness_.recordTimeout(now, reachability_.totalConsecutiveTimeouts());
    const bool isLikelyPacketLoss
        = server.consecutiveTimeouts == 1 && now - server.lastHandshakeAt < recentHandshakeLimit;
    if (isLikelyPacketLoss)
        return;
    const auto doublings = std::min<uint32_t>(server.consecutiveTimeouts, 4) - 1;
    server.suspectUntil
        = std::max(server.suspectUntil, now + std::min(maximumSuspicionTime, minimumSuspicionTime * (1 << doublings)));
}

std::optional<HedgedAttempt> SteeringDecider::hedge(Base::TimePoint now, const HedgeQueue::Pending& pending)
{
    auto* record = flows_.find(pending.flow);
    const bool isOpening = record != nullptr && record->state == FlowState::Opening
        && record->firstSequence == pending.sequence && record->attemptCount < maximumConnectionAttempts;
    const auto* route = routes_.find(pending.flow.service);
    if (!isOpening || route == nullptr || admission_.isWaiting(pending.flow))
        return std::nullopt;
    recordAttemptTimeout(now, *record);
    const auto* share = route->shareFor(pending.flow);
    if (share == nullptr)
        return std::nullopt;
    if (isServerResponding(*record) && !admission_.mayHedge(share->service)) {
        ++statistics_.hedgesDenied;
        return std::nullopt;
    }
    const bool needsPlace = admission_.isRequired(now, route->traffic, share->service);
    const auto result = choose(now, pending.flow, *route, *record, needsPlace);
    if (!result && needsPlace) {
        // The attempted server is silent; the flow gets the next place that becomes free.
        const auto displaced = admission_.wait(
            now, { .flow = pending.flow, .sequence = pending.sequence }, route->traffic, share->service, pending.bytes);
        if (displaced && displaced->key != pending.flow)
            rejectWaiting(now, *displaced);
    }
    // A hedged attempt is made only at a sound server; otherwise the caller's own retransmission is soon enough.
    if (!result || result->choice.tier != ChoiceTier::Sound)
        return std::nullopt;
    ++statistics_.hedgedAttempts;
    const auto verdict = startAttempt(now, pending.flow, *record, result->choice);
    reportDecision(FlowDecision::Kind::Hedged, pending.flow, *record, now, &*result);
    return HedgedAttempt { .bytes = pending.bytes, .verdict = verdict };
}

}
