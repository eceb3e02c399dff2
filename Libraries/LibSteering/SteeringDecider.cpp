#include <LibSteering/SteeringDecider.h>

#include <algorithm>

namespace Steering {

namespace {

    /// A peer without a report for this long was unreachable or down; reports are sent every 200 ms.
    constexpr Base::milliseconds peerReportTimeout { 700 };

    /// An open flow without packets for this long no longer counts as a request in flight: requests take tens of
    /// milliseconds, and callers retransmit lost packets within 1.6 s.
    constexpr Base::milliseconds inFlightTimeout { 2000 };
    constexpr Base::milliseconds expiryInterval { 250 };

}

SteeringDecider::SteeringDecider(const Options& options)
    : options_(options)
    , servers_({ .retention = options.flowLifetime })
    , claims_(servers_)
    , restoredRecords_({ .isOutdated = [this](const BackendServerEntry& entry) { return servers_.isOutdated(entry); } })
    , allowance_({ .self = options.self, .overshoot = options.warmUpOvershoot, .slack = options.warmUpSlack })
    , peerLoads_(servers_)
    , presence_({ .self = options.self, .failureDomain = options.failureDomain })
    , topology_({ .self = options.self, .failureDomain = options.failureDomain, .linkMegabits = options.linkMegabits })
    , choice_({ .failureDomain = options.failureDomain,
                  .seed = options.seed,
                  .isLoadKnown = [this](BackendServerNumber number,
                                     bool isOwnDomain) { return topology_.isLoadKnown(number, isOwnDomain); } },
          servers_, reachability_, allowance_)
    , admission_({ .self = options.self,
                     .failureDomain = options.failureDomain,
                     .isLoadKnown = [this](BackendServerNumber number,
                                        bool isOwnDomain) { return topology_.isLoadKnown(number, isOwnDomain); } },
          servers_, choice_, peerLoads_)
    , shareChoice_(
          { .hasPlace = [this](Base::TimePoint now, const Server& server) { return admission_.hasRoom(now, server); } },
          servers_, choice_)
    , flows_({ .maximumFlows = options.maximumFlows })
    , tokens_(servers_)
    , responseQuality_({}, servers_)
    , serviceTimes_({}, servers_)
    , progress_(servers_, responseQuality_)
    , stalledFlows_(flows_, servers_)
    , restarts_({ .warmUpOf = [this](const Server& server) { return warmUpOf(server.entry.service); } }, servers_)
{
}

void SteeringDecider::handle(Base::TimePoint now, const StateEvent& event)
{
    if (!restoredRecords_.tryHoldBack(event))
        std::visit([&](const auto& typed) { apply(now, typed); }, event);
}

void SteeringDecider::apply(Base::TimePoint now, const ConfigurationChanged& event)
{
    // The version in force never decreases within a process, in whatever order the sources deliver versions.
    if (configuration_ && !event.configuration->isNewerThan(*configuration_))
        return;
    configuration_ = event.configuration;
    routes_.replace(*configuration_, servers_);
    shareChoice_.reset();
    auto services = routes_.services();
    services.reserve(services.size() + configuration_->services.size());
    for (const auto& profile : configuration_->services)
        services.push_back(servers_.serviceIndex(profile.name));
    servers_.setConfiguredServices(now, std::move(services));
    applyDueClaims(now);
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
    if (claims_.tryAccept(event.entry)) {
        const bool isRestart = servers_.addOrUpdate(now, event.entry, warmUpOf(event.entry.service));
        restarts_.recordEntry(now, event.entry.number, isRestart);
        return;
    }
    const auto& inUse = servers_.at(*servers_.find(event.entry.number)).entry;
    if (options_.onContestedServer)
        options_.onContestedServer(event.entry, inUse);
    // What the server's own entry said before no longer holds.
    if (inUse.id == event.entry.id)
        servers_.removeEntry(now, event.entry.number);
}

Base::milliseconds SteeringDecider::warmUpOf(const std::string& service) const
{
    if (!configuration_)
        return Base::milliseconds(0);
    const auto profile = std::ranges::find(configuration_->services, service, &ServiceProfile::name);
    return profile != configuration_->services.end() ? profile->warmUp : Base::milliseconds(0);
}

void SteeringDecider::apply(Base::TimePoint now, const ServerUnlisted& event)
{
    claims_.remove(event.number, event.id);
    if (claims_.isHolder(event.number, event.id))
        servers_.removeEntry(now, event.number);
}

void SteeringDecider::applyDueClaims(Base::TimePoint now)
{
    for (auto& entry : claims_.takeDue()) {
        const bool isRestart = servers_.addOrUpdate(now, entry, warmUpOf(entry.service));
        restarts_.recordEntry(now, entry.number, isRestart);
        claims_.updateContested(entry.number);
    }
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

void SteeringDecider::apply(Base::TimePoint now, const StoreRestored&)
{
    restoredRecords_.beginCopy(now);
    servers_.beginRemovalGrace(now);
}

void SteeringDecider::apply(Base::TimePoint now, const StateSynchronized&)
{
    restoredRecords_.endCopy();
    isSynchronized_ = true;
    updateReadiness(now);
}

void SteeringDecider::apply(Base::TimePoint now, const StoreReachable& event)
{
    servers_.setStoreReachable(now, event.isReachable);
    stalledFlows_.setStoreReachable(event.isReachable);
    restarts_.setStoreReachable(now, event.isReachable);
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

Verdict SteeringDecider::forwardTo(const Server& server, FlowToken token)
{
    ++statistics_.forwarded;
    return {
        .kind = VerdictKind::Forward, .server = server.flowAddress(), .number = server.entry.number, .token = token
    };
}

Verdict SteeringDecider::forwardFirstPacket(const Server& server, const Packet::FlowKey& flow, const FlowRecord& record)
{
    auto verdict = forwardTo(server, FlowToken::tentative(server.entry.number, flow, record.firstSequence));
    verdict.server = server.entry.address;
    return verdict;
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

bool SteeringDecider::acceptReport(Base::TimePoint now, const LoadReport& report)
{
    const auto peer = peerLoads_.peers().find(report.sender);
    const bool wasUnreachable = peer != peerLoads_.peers().end() && now - peer->second.lastReportAt > peerReportTimeout;
    if (!peerLoads_.accept(now, report))
        return false;
    restarts_.acceptReport(now, report.possiblyRestarted);
    serviceTimes_.acceptReport(now, report.sender, report.speeds);
    const auto domain = servers_.domainIndex(peer->second.failureDomain);
    if (peer->second.failureDomain == options_.failureDomain || !choice_.isDomainUsable(domain))
        return true;
    readiness_.recordReportReceived(now);
    if (wasUnreachable)
        reachability_.recordReportReceived(domain);
    return true;
}

FlowRecord* SteeringDecider::recordFor(Base::TimePoint now, const PacketView& packet, const CompiledRoute& route)
{
    auto* record = flows_.find(packet.flow);
    const bool isRequest = packet.dataBytes > 0 && !packet.ends && !packet.resets;
    if (record != nullptr ? !record->isAdopted : !isRequest)
        return record;
    if (packet.token.isTentative())
        return record;
    const auto index = servers_.resolve(packet.token, route.services);
    if (!index || (record != nullptr && record->server == servers_.at(*index).entry.number))
        return index ? record : nullptr;
    // Only the node that saw the handshake knows which server the caller accepted; here the latest confirmed token
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
    std::optional<ServerIndex> index;
    if (record != nullptr && record->state != FlowState::Opening) {
        index = servers_.find(record->server);
        if (!index)
            return refuse(packet, Refusal::UnknownToken, VerdictKind::Drop);
    } else {
        const auto resolution = tokens_.resolve(now, packet, route.services, record);
        if (!resolution.server)
            return refuse(packet, resolution.refusal, VerdictKind::Drop);
        index = resolution.server;
        if (record != nullptr)
            completeHandshake(now, *record, packet, *index);
    }
    if (record != nullptr) {
        record->lastSeen = now;
        trackOpenFlow(now, *record, packet);
        // A confirmed token alone suffices for the packets that follow.
        const bool isOver = packet.ends || packet.resets;
        if (isOver && record->attemptCount <= 1 && !packet.token.isTentative())
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
    return forwardTo(servers_.at(*index), servers_.at(*index).confirmedToken);
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
    resets.insert(resets.end(), rejected_.begin(), rejected_.end());
    rejected_.clear();
    return resets;
}

void SteeringDecider::handleProbe(Base::TimePoint now, const ServerProbed& result)
{
    statistics_.failedProbes += result.isReachable ? 0 : 1;
    stalledFlows_.handleProbe(now, result);
    restarts_.recordProbe(now, result);
}

void SteeringDecider::completeHandshake(
    Base::TimePoint now, FlowRecord& record, const PacketView& packet, ServerIndex index)
{
    // The caller's first packet after the handshake carries the token of the server it accepted. Later tokens may come
    // from a slower server's response and are ignored.
    auto& server = servers_.at(index);
    progress_.recordOpened(record, server, packet);
    server.consecutiveTimeouts = 0;
    server.suspectUntil = {};
    server.lastHandshakeAt = now;
    server.lastResponseAt = now;
    server.unreachableAt = {};
    server.confirmAddress(record.firstSeen);
    servers_.confirmEndOfEarlierServers(index);
    reachability_.recordResponse(server.domain);
    admission_.recordOutcome(server.service, true);
    readiness_.recordResponse();
    ++statistics_.opened;
    const auto sample = std::chrono::duration_cast<Base::microseconds>(now - record.firstSeen
        - (record.attemptCount == 1 ? totalStallTime_ - record.stallTimeAtLastAttempt : Base::nanoseconds(0)));
    const auto bucket = std::ranges::lower_bound(handshakeBounds, sample) - handshakeBounds.begin();
    ++statistics_.handshakes[static_cast<std::size_t>(bucket)];
    statistics_.handshakeSum += sample;
    if (record.attemptCount == 1)
        hedges_.recordHandshake(
            sample - std::chrono::duration_cast<Base::microseconds>(record.lastAttemptAt - record.firstSeen));
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
    dispatchWaiting(now, dueAttempts);
    stalledFlows_.runDueChecks(now, totalStallTime_);
    if (now < nextExpiry_)
        return dueAttempts;
    nextExpiry_ = now + expiryInterval;
    flows_.runDueChecks(
        now, [&](const Packet::FlowKey& flow, FlowRecord& record) { return checkRecord(now, flow, record); });
    for (const auto& event : restoredRecords_.takeDue(now))
        std::visit([&](const auto& typed) { apply(now, typed); }, event);
    responseQuality_.expire(now);
    serviceTimes_.update(now);
    servers_.expire(now);
    applyDueClaims(now);
    restarts_.expire(now);
    for (const auto index : restarts_.serversToProbe())
        stalledFlows_.probe(now, servers_.at(index));
    peerLoads_.expire(now);
    // At a start thousands of peers are listed at once; an update for each of them would take seconds.
    if (isTopologyOutdated_)
        topology_.update(peerLoads_.peers());
    isTopologyOutdated_ = false;
    // In a partitioned domain only part of the entry VMs report here.
    readiness_.setOutnumbered(now, topology_.cellCount() == 1 && presence_.isOutnumbered(now, peerLoads_.peers()));
    allowance_.expire(now);
    admission_.refresh(now);
    return dueAttempts;
}

Base::TimePoint SteeringDecider::nextTimer(Base::TimePoint now) const
{
    return std::max(now,
        std::min(
            { nextExpiry_, stalledFlows_.nextCheck(), hedges_.nextDue(totalStallTime_), admission_.nextDeadline() }));
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
    Base::TimePoint now, const ShareChoice::ShareResult* result)
{
    if (!options_.onDecision)
        return;
    FlowDecision decision { .kind = kind,
        .flow = flow,
        .sequence = record.firstSequence,
        .server = record.server,
        .configurationVersion = configurationVersion(),
        .age = std::chrono::duration_cast<Base::microseconds>(now - record.firstSeen) };
    if (result != nullptr) {
        const auto& server = servers_.at(result->choice.server);
        decision.server = server.entry.number;
        decision.tier = result->choice.tier;
        if (result->diversion != ShareDiversion::None) {
            decision.diversion = result->diversion;
            decision.serviceAsked = servers_.serviceName(result->asked);
            decision.serviceGiven = servers_.serviceName(result->given);
        }
        decision.ownInFlight = server.ownInFlight;
        decision.peersInFlight = server.peersInFlight;
        decision.relativeServiceTime = server.relativeServiceTime;
    }
    options_.onDecision(decision);
}

}
