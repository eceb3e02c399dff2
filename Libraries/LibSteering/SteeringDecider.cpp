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
    /// A peer without a report for this long was unreachable or down; reports are sent every 200 ms.
    constexpr Base::milliseconds peerReportTimeout { 700 };

    /// An open flow without packets for this long no longer counts as a request in flight: requests take tens of
    /// milliseconds, and callers retransmit lost packets within 1.6 s.
    constexpr Base::milliseconds inFlightTimeout { 2000 };
    /// Callers time out 1.4 s after a first packet.
    constexpr Base::milliseconds openingTimeout { 1500 };
    constexpr Base::milliseconds expiryInterval { 250 };

}

SteeringDecider::SteeringDecider(const Options& options)
    : options_(options)
    , servers_({ .retention = options.flowLifetime })
    , allowance_({ .self = options.self, .overshoot = options.warmUpOvershoot, .slack = options.warmUpSlack })
    , peerLoads_(servers_)
    , presence_({ .self = options.self, .failureDomain = options.failureDomain })
    , topology_({ .self = options.self, .failureDomain = options.failureDomain, .linkMegabits = options.linkMegabits })
    , choice_({ .failureDomain = options.failureDomain,
                  .seed = options.seed,
                  .isLoadKnown = [this](BackendServerNumber number,
                                     bool isOwnDomain) { return topology_.isLoadKnown(number, isOwnDomain); } },
          servers_, reachability_, allowance_)
    , shareChoice_({}, servers_, choice_)
    , flows_({ .maximumFlows = options.maximumFlows })
    , responseQuality_({}, servers_)
    , serviceTimes_({}, servers_)
    , progress_(servers_, responseQuality_)
    , stalledFlows_(flows_, servers_)
{
}

void SteeringDecider::handle(Base::TimePoint now, const StateEvent& event)
{
    std::visit([&](const auto& typed) { apply(now, typed); }, event);
}

void SteeringDecider::apply(Base::TimePoint now, const ConfigurationChanged& event)
{
    // The version in force never decreases within a process, in whatever order the sources deliver versions.
    if (configuration_ && event.configuration->revision <= configuration_->revision)
        return;
    configuration_ = event.configuration;
    routes_.replace(*configuration_, servers_);
    shareChoice_.reset();
    std::vector<std::string> services;
    for (const auto& profile : configuration_->services)
        services.push_back(profile.name);
    servers_.setConfiguredServices(now, services);
    updateReadiness(now);
}

void SteeringDecider::updateReadiness(Base::TimePoint now)
{
    // The store may be read before operators have written the first configuration.
    if (isSynchronized_ && configuration_)
        readiness_.setStateComplete(now);
}

void SteeringDecider::apply(Base::TimePoint now, const ServerListed& event)
{
    Base::milliseconds warmUp { 0 };
    if (configuration_) {
        const auto profile = std::ranges::find(configuration_->services, event.entry.service, &ServiceProfile::name);
        if (profile != configuration_->services.end())
            warmUp = profile->warmUp;
    }
    servers_.addOrUpdate(now, event.entry, warmUp);
}

void SteeringDecider::apply(Base::TimePoint now, const ServerUnlisted& event)
{
    servers_.removeEntry(now, event.number);
}

void SteeringDecider::apply(Base::TimePoint, const DomainEvacuation& event)
{
    choice_.setEvacuated(event.failureDomain, event.isEvacuated);
}

void SteeringDecider::apply(Base::TimePoint now, const PeerListed& event)
{
    if (event.peer == options_.self)
        return;
    peerLoads_.addOrUpdate(now, event);
    if (std::ranges::find(peerIds_, event.peer) == peerIds_.end())
        peerIds_.push_back(event.peer);
    isTopologyOutdated_ = true;
}

void SteeringDecider::apply(Base::TimePoint, const PeerUnlisted& event)
{
    peerLoads_.remove(event.peer);
    std::erase(peerIds_, event.peer);
    isTopologyOutdated_ = true;
}

void SteeringDecider::apply(Base::TimePoint now, const StateSynchronized&)
{
    isSynchronized_ = true;
    updateReadiness(now);
}

void SteeringDecider::apply(Base::TimePoint now, const StoreReachable& event)
{
    servers_.setStoreReachable(now, event.isReachable);
}

Verdict SteeringDecider::refuse(const PacketView& packet, Refusal refusal, VerdictKind kind)
{
    ++statistics_.refused[static_cast<std::size_t>(refusal)];
    statistics_.resets += kind == VerdictKind::Reset ? 1 : 0;
    if (options_.onDecision) {
        options_.onDecision({ .kind = FlowDecision::Kind::Refused,
            .flow = packet.flow,
            .sequence = packet.sequence,
            .refusal = refusal,
            .configurationVersion = configurationVersion() });
    }
    return { .kind = kind, .refusal = refusal };
}

Verdict SteeringDecider::forwardTo(const Server& server)
{
    ++statistics_.forwarded;
    return { .kind = VerdictKind::Forward,
        .server = server.entry.address,
        .number = server.entry.number,
        .token = server.token };
}

Verdict SteeringDecider::decide(Base::TimePoint now, const PacketView& packet, std::span<const std::byte> bytes)
{
    if (!configuration_)
        return refuse(packet, Refusal::NotSynchronized, VerdictKind::Drop);
    const auto* route = routes_.find(packet.flow.service);
    if (route == nullptr)
        return refuse(packet, Refusal::NoRoute, packet.opensFlow ? VerdictKind::Reset : VerdictKind::Drop);
    return packet.opensFlow ? decideFirstPacket(now, packet, *route, bytes) : decideLaterPacket(now, packet, *route);
}

std::optional<Choice> SteeringDecider::choose(
    Base::TimePoint now, const Packet::FlowKey& flow, const CompiledRoute& route, const FlowRecord& record)
{
    const auto isForbidden = [&](const Server& server) {
        if (route.regions.empty())
            return false;
        const auto region = options_.regions.find(server.entry.failureDomain);
        return region == options_.regions.end()
            || std::ranges::find(route.regions, region->second) == route.regions.end();
    };
    const auto wasAttempted = [&](const Server& server) { return record.wasAttemptedAt(server.entry.number); };
    const auto result = shareChoice_.choose(
        now, flow, route, { .isForbidden = isForbidden, .wasAttempted = wasAttempted, .peers = &peerIds_ });
    if (!result)
        return std::nullopt;
    ++statistics_.shareDiversions[static_cast<std::size_t>(result->diversion)];
    lastShare_ = *result;
    return result->choice;
}

bool SteeringDecider::acceptReport(Base::TimePoint now, const LoadReport& report)
{
    const auto peer = peerLoads_.peers().find(report.sender);
    const bool wasUnreachable = peer != peerLoads_.peers().end() && now - peer->second.lastReportAt > peerReportTimeout;
    if (!peerLoads_.accept(now, report))
        return false;
    serviceTimes_.acceptReport(now, report.sender, report.speeds);
    const auto domain = servers_.domainIndex(peer->second.failureDomain);
    if (peer->second.failureDomain == options_.failureDomain || !choice_.isDomainUsable(domain))
        return true;
    readiness_.recordReportReceived(now);
    if (wasUnreachable)
        reachability_.recordReportReceived(domain);
    return true;
}

Verdict SteeringDecider::startAttempt(Base::TimePoint now, FlowRecord& record, const Choice& choice)
{
    auto& server = servers_.at(choice.server);
    reachability_.recordAttempt(now, server.domain);
    if (server.consecutiveTimeouts > 1)
        server.suspectUntil = std::max(server.suspectUntil, now + probeTimeout);
    FlowProgress::recordAttempt(record, server);
    record.lastAttemptAt = now;
    record.stallTimeAtLastAttempt = totalStallTime_;
    ++statistics_.chosen[static_cast<std::size_t>(choice.tier)];
    return forwardTo(server);
}

Verdict SteeringDecider::decideFirstPacket(
    Base::TimePoint now, const PacketView& packet, const CompiledRoute& route, std::span<const std::byte> bytes)
{
    auto* record = flows_.find(packet.flow);
    if (record != nullptr && (record->isAdopted || record->firstSequence != packet.sequence)) {
        // The caller has reused its port.
        progress_.stopCounting(*record);
        flows_.erase(packet.flow);
        record = nullptr;
    }
    if (record != nullptr && record->state != FlowState::Opening) {
        // A late retransmission: the flow's own server knows the flow.
        const auto index = servers_.find(record->server);
        return index ? forwardTo(servers_.at(*index)) : refuse(packet, Refusal::UnknownToken, VerdictKind::Drop);
    }
    const bool isRetransmission = record != nullptr;
    ++(isRetransmission ? statistics_.retransmissions : statistics_.firstPackets);
    FlowRecord untracked;
    if (!isRetransmission) {
        record = flows_.add(now, packet.flow);
        statistics_.untracked += record == nullptr ? 1 : 0;
        const bool isTracked = record != nullptr;
        record = isTracked ? record : &untracked;
        record->firstSequence = packet.sequence;
        record->firstSeen = now;
    } else {
        recordAttemptTimeout(now, *record);
    }
    record->lastSeen = now;
    const auto choice
        = record->attemptCount < maximumConnectionAttempts ? choose(now, packet.flow, route, *record) : std::nullopt;
    if (!choice) {
        // No further server can be tried; the last one may still respond.
        const auto last
            = isRetransmission ? servers_.find(record->attemptedServers[record->attemptCount - 1]) : std::nullopt;
        if (last && choice_.isUsable(servers_.at(*last)))
            return forwardTo(servers_.at(*last));
        flows_.erase(packet.flow);
        return refuse(packet, Refusal::NoServer, VerdictKind::Reset);
    }
    const auto verdict = startAttempt(now, *record, *choice);
    reportDecision(isRetransmission ? FlowDecision::Kind::Retransmitted : FlowDecision::Kind::Placed, packet.flow,
        *record, now, &*choice);
    if (record == &untracked) {
        progress_.stopCounting(untracked);
        return verdict;
    }
    hedges_.add(now, totalStallTime_, packet, bytes);
    return verdict;
}

FlowRecord* SteeringDecider::recordFor(Base::TimePoint now, const PacketView& packet, const CompiledRoute& route)
{
    auto* record = flows_.find(packet.flow);
    const bool isRequest = packet.dataBytes > 0 && !packet.ends && !packet.resets;
    if (record != nullptr ? !record->isAdopted : !isRequest)
        return record;
    const auto index = servers_.resolve(packet.token, route.services);
    if (!index || (record != nullptr && record->server == servers_.at(*index).entry.number))
        return index ? record : nullptr;
    // Only the node that saw the handshake knows which server the caller accepted; here the token of each packet
    // decides.
    if (record != nullptr)
        progress_.stopCounting(*record);
    else
        record = flows_.add(now, packet.flow);
    if (record == nullptr)
        return nullptr;
    record->isAdopted = true;
    record->state = FlowState::Open;
    record->server = servers_.at(*index).entry.number;
    record->isAwaitingResponse = false;
    record->requestEndSequence = packet.sequence;
    record->acknowledgedAtRequest = packet.acknowledged;
    return record;
}

Verdict SteeringDecider::decideLaterPacket(Base::TimePoint now, const PacketView& packet, const CompiledRoute& route)
{
    auto* record = recordFor(now, packet, route);
    if (record != nullptr && record->state == FlowState::Opening)
        completeHandshake(now, *record, packet, route);
    std::optional<ServerIndex> index;
    if (record != nullptr && record->state != FlowState::Opening)
        index = servers_.find(record->server);
    else if (packet.token.isValid())
        index = servers_.resolve(packet.token, route.services);
    if (!index) {
        const auto refusal = packet.token.isValid() ? Refusal::UnknownToken : Refusal::NoToken;
        return refuse(packet, refusal, VerdictKind::Drop);
    }
    if (record != nullptr) {
        record->lastSeen = now;
        trackOpenFlow(now, *record, packet);
        // After a single connection attempt the token alone suffices for the packets that follow.
        const bool isOver = packet.ends || packet.resets;
        if (isOver && record->attemptCount <= 1)
            flows_.erase(packet.flow);
        else if (isOver)
            record->state = FlowState::Ended;
    }
    if (packet.dataBytes > 0 && !packet.resets && stalledFlows_.isGone(now, servers_.at(*index))) {
        stalledFlows_.recordReset(now, *index);
        if (record = flows_.find(packet.flow); record != nullptr)
            abandonRequest(*record);
        return refuse(packet, Refusal::ServerGone, VerdictKind::Reset);
    }
    return forwardTo(servers_.at(*index));
}

void SteeringDecider::abandonRequest(FlowRecord& record)
{
    progress_.stopCounting(record);
    record.isAwaitingResponse = false;
}

std::vector<FlowReset> SteeringDecider::takeResets()
{
    auto resets = stalledFlows_.takeResets();
    for (const auto& reset : resets) {
        if (auto* record = flows_.find(reset.flow); record != nullptr)
            abandonRequest(*record);
        refuse({ .flow = reset.flow, .acknowledged = reset.acknowledged }, Refusal::ServerGone, VerdictKind::Reset);
    }
    return resets;
}

void SteeringDecider::handleProbe(Base::TimePoint now, const ServerProbed& result)
{
    statistics_.failedProbes += result.isReachable ? 0 : 1;
    stalledFlows_.handleProbe(now, result);
}

void SteeringDecider::completeHandshake(
    Base::TimePoint now, FlowRecord& record, const PacketView& packet, const CompiledRoute& route)
{
    // The caller's first packet after the handshake carries the token of the server it accepted. Later tokens may come
    // from a slower server's response and are ignored.
    const auto index = servers_.resolve(packet.token, route.services);
    if (!index)
        return;
    auto& server = servers_.at(*index);
    progress_.recordOpened(record, server, packet);
    server.consecutiveTimeouts = 0;
    server.suspectUntil = {};
    server.lastHandshakeAt = now;
    server.lastResponseAt = now;
    server.unreachableAt = {};
    servers_.confirmEndOfEarlierServers(*index);
    reachability_.recordResponse(server.domain);
    readiness_.recordResponse();
    ++statistics_.opened;
    const auto sample = std::chrono::duration_cast<Base::microseconds>(now - record.firstSeen
        - (record.attemptCount == 1 ? totalStallTime_ - record.stallTimeAtLastAttempt : Base::nanoseconds(0)));
    const auto bucket = std::ranges::lower_bound(handshakeBounds, sample) - handshakeBounds.begin();
    ++statistics_.handshakes[static_cast<std::size_t>(bucket)];
    statistics_.handshakeSum += sample;
    if (record.attemptCount == 1)
        hedges_.recordHandshake(sample);
    else
        reportDecision(FlowDecision::Kind::Opened, packet.flow, record, now, nullptr);
}

void SteeringDecider::recordServiceTime(
    Base::TimePoint now, const Base::Ipv4Endpoint& service, const FlowRecord& record)
{
    if (!record.isServiceTimeSample)
        return;
    const auto stallTime = totalStallTime_ - record.stallTimeAtRequest;
    serviceTimes_.recordResponse(now, service, record.server,
        std::chrono::duration_cast<Base::microseconds>(now - record.requestDataSeenAt - stallTime));
}

void SteeringDecider::trackOpenFlow(Base::TimePoint now, FlowRecord& record, const PacketView& packet)
{
    const auto progress = progress_.processPacket(now, record, packet);
    if (progress.startsResponse) {
        stalledFlows_.recordResponse(now, totalStallTime_, record);
        recordServiceTime(now, packet.flow.service, record);
    }
    if (progress.startsRequest) {
        stalledFlows_.recordRequest(now, totalStallTime_, packet.flow, record);
        const auto index = servers_.find(record.server);
        record.isServiceTimeSample = index && ServiceTimes::isSample(servers_.at(*index));
    }
    if (progress.hasRequestData)
        record.requestDataSeenAt = now;
    const auto& shortResponse = progress.shortResponse;
    if (!shortResponse)
        return;
    ++statistics_.shortResponses;
    if (!options_.onDecision)
        return;
    options_.onDecision({ .kind = FlowDecision::Kind::ShortResponse,
        .flow = packet.flow,
        .sequence = record.firstSequence,
        .server = record.server,
        .configurationVersion = configurationVersion(),
        .age = std::chrono::duration_cast<Base::microseconds>(now - record.firstSeen),
        .responseBytes = shortResponse->bytes,
        .usualResponseBytes = shortResponse->usualBytes,
        .backOffTime = shortResponse->backOffTime });
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
    ++statistics_.attemptTimeouts;
    auto& server = servers_.at(*index);
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
    if (!isOpening || route == nullptr)
        return std::nullopt;
    recordAttemptTimeout(now, *record);
    const auto choice = choose(now, pending.flow, *route, *record);
    // A hedged attempt is made only at a sound server; otherwise the caller's own retransmission is soon enough.
    if (!choice || choice->tier != ChoiceTier::Sound)
        return std::nullopt;
    ++statistics_.hedgedAttempts;
    const auto verdict = startAttempt(now, *record, *choice);
    reportDecision(FlowDecision::Kind::Hedged, pending.flow, *record, now, &*choice);
    return HedgedAttempt { .bytes = pending.bytes, .verdict = verdict };
}

bool SteeringDecider::checkRecord(Base::TimePoint now, const Packet::FlowKey& flow, FlowRecord& record)
{
    const auto idleTime = now - record.lastSeen;
    if (record.state == FlowState::Opening && idleTime >= openingTimeout) {
        ++statistics_.neverOpened;
        if (record.attemptCount > 0)
            record.server = record.attemptedServers[record.attemptCount - 1];
        reportDecision(FlowDecision::Kind::NeverOpened, flow, record, now, nullptr);
        progress_.stopCounting(record);
        return false;
    }
    if (idleTime >= inFlightTimeout)
        progress_.stopCounting(record);
    const auto idleTimeout = configuration_ ? configuration_->idleTimeout : Base::milliseconds(0);
    const bool isExpired = idleTime >= std::max<Base::nanoseconds>(idleTimeout, inFlightTimeout)
        || now - record.firstSeen >= options_.flowLifetime;
    if (isExpired)
        progress_.stopCounting(record);
    return !isExpired;
}

std::vector<HedgedAttempt> SteeringDecider::handleTimers(Base::TimePoint now)
{
    std::vector<HedgedAttempt> dueAttempts;
    while (const auto pending = hedges_.popDue(now, totalStallTime_)) {
        if (auto attempt = hedge(now, *pending))
            dueAttempts.push_back(*attempt);
    }
    stalledFlows_.runDueChecks(now, totalStallTime_);
    if (now < nextExpiry_)
        return dueAttempts;
    nextExpiry_ = now + expiryInterval;
    flows_.runDueChecks(
        now, [&](const Packet::FlowKey& flow, FlowRecord& record) { return checkRecord(now, flow, record); });
    responseQuality_.expire(now);
    serviceTimes_.update(now);
    servers_.expire(now);
    peerLoads_.expire(now);
    // At a start thousands of peers are listed at once; an update for each of them would take seconds.
    if (isTopologyOutdated_)
        topology_.update(peerLoads_.peers());
    isTopologyOutdated_ = false;
    // In a partitioned domain only part of the entry VMs report here.
    readiness_.setOutnumbered(now, topology_.cellCount() == 1 && presence_.isOutnumbered(now, peerLoads_.peers()));
    allowance_.expire(now);
    return dueAttempts;
}

Base::TimePoint SteeringDecider::nextTimer(Base::TimePoint now) const
{
    return std::max(now, std::min({ nextExpiry_, stalledFlows_.nextCheck(), hedges_.nextDue(totalStallTime_) }));
}

std::vector<ServerLoad> SteeringDecider::ownLoads()
{
    std::vector<ServerLoad> loads;
    servers_.forEach([&](ServerIndex, const Server& server) {
        if (server.ownInFlight > 0)
            loads.push_back({ .number = server.entry.number, .inFlight = server.ownInFlight });
    });
    return loads;
}

void SteeringDecider::reportDecision(FlowDecision::Kind kind, const Packet::FlowKey& flow, const FlowRecord& record,
    Base::TimePoint now, const Choice* choice)
{
    if (!options_.onDecision)
        return;
    FlowDecision decision { .kind = kind,
        .flow = flow,
        .sequence = record.firstSequence,
        .server = record.server,
        .configurationVersion = configurationVersion(),
        .age = std::chrono::duration_cast<Base::microseconds>(now - record.firstSeen) };
    if (choice != nullptr) {
        const auto& server = servers_.at(choice->server);
        decision.server = server.entry.number;
        decision.tier = choice->tier;
        if (lastShare_.diversion != ShareDiversion::None) {
            decision.diversion = lastShare_.diversion;
            decision.serviceAsked = servers_.serviceName(lastShare_.asked);
            decision.serviceGiven = servers_.serviceName(lastShare_.given);
        }
        decision.ownInFlight = server.ownInFlight;
        decision.peersInFlight = server.peersInFlight;
        decision.relativeServiceTime = server.relativeServiceTime;
    }
    options_.onDecision(decision);
}

}
