#include <LibSteering/SteeringDecider.h>

#include <algorithm>
#include <cstring>

namespace Steering {

namespace {

    /// Handshakes take one round trip to the caller, a few milliseconds on the fabrics known; the first guess is long,
    /// so that no second offer is made before the real figure is known.
    constexpr Base::milliseconds firstHandshakeGuess { 20 };
    /// A second offer costs a connection at a server, a lost first packet costs its caller 200 ms. Three usual
    /// handshake times leave one offer in a hundred needless.
    constexpr int handshakesUntilReoffer = 3;
    constexpr Base::milliseconds shortestReofferDelay { 25 };
    constexpr Base::milliseconds longestReofferDelay { 150 };
    /// Weight of a new sample in the smoothed handshake time, as in TCP's round-trip estimate.
    constexpr int smoothing = 8;

    /// A server that answered this recently is not suspect for one lost packet.
    constexpr Base::milliseconds recentSuccess { 1000 };
    constexpr Base::milliseconds firstSuspicion { 500 };
    constexpr Base::milliseconds longestSuspicion { 4000 };
    /// After a suspicion, one first packet at a time tries the server; the answer to it takes less than this.
    constexpr Base::milliseconds attemptTime { 200 };
    /// A peer that was not heard of for this long was out of reach or down; reports come every 200 ms.
    constexpr Base::milliseconds silence { 700 };

    /// An open flow without packets for this long no longer counts as work: work takes tens of milliseconds, and
    /// callers repeat what is lost within 1.6 s.
    constexpr Base::milliseconds quietTime { 2000 };
    /// Callers give up on a first packet after 1.4 s.
    constexpr Base::milliseconds openingTime { 1500 };
    constexpr Base::milliseconds expiryInterval { 250 };

}

std::string_view toString(FlowDecision::Kind kind)
{
    switch (kind) {
    case FlowDecision::Kind::Placed:
        return "placed";
    case FlowDecision::Kind::Copied:
        return "copied";
    case FlowDecision::Kind::Reoffered:
        return "reoffered";
    case FlowDecision::Kind::Opened:
        return "opened";
    case FlowDecision::Kind::Refused:
        return "refused";
    case FlowDecision::Kind::NeverOpened:
        return "never_opened";
    case FlowDecision::Kind::ShortAnswer:
        return "short_answer";
    }
    return "unknown";
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
    , flows_({ .maximumFlows = options.maximumFlows })
    , quality_({}, servers_)
    , progress_(servers_, quality_)
    , handshakeTime_(firstHandshakeGuess)
{
}

void SteeringDecider::handle(Base::TimePoint now, const BeliefEvent& event)
{
    std::visit([&](const auto& typed) { apply(now, typed); }, event);
}

void SteeringDecider::apply(Base::TimePoint now, const ConfigurationChanged& event)
{
    // Versions never go back within a process, whatever order the sources deliver them in.
    if (configuration_ && event.configuration->revision <= configuration_->revision)
        return;
    configuration_ = event.configuration;
    routes_.replace(*configuration_, servers_);
    noteCompleteness(now);
}

void SteeringDecider::noteCompleteness(Base::TimePoint now)
{
    // The store may be read before operators have written the first configuration.
    if (isSynchronized_ && configuration_)
        readiness_.setComplete(now);
}

void SteeringDecider::apply(Base::TimePoint now, const ServerListed& event)
{
    Base::milliseconds warmUp { 0 };
    if (configuration_) {
        const auto profile = std::ranges::find(configuration_->services, event.entry.service, &ServiceProfile::name);
        if (profile != configuration_->services.end())
            warmUp = profile->warmUp;
    }
    servers_.list(now, event.entry, warmUp);
}

void SteeringDecider::apply(Base::TimePoint now, const ServerUnlisted& event) { servers_.unlist(now, event.number); }

void SteeringDecider::apply(Base::TimePoint, const DomainEvacuation& event)
{
    choice_.setEvacuated(event.failureDomain, event.isEvacuated);
}

void SteeringDecider::apply(Base::TimePoint, const PeerListed& event)
{
    if (event.peer == options_.self)
        return;
    peerLoads_.list(event);
    if (std::ranges::find(peerIds_, event.peer) == peerIds_.end())
        peerIds_.push_back(event.peer);
    isTopologyStale_ = true;
}

void SteeringDecider::apply(Base::TimePoint, const PeerUnlisted& event)
{
    peerLoads_.unlist(event.peer);
    std::erase(peerIds_, event.peer);
    isTopologyStale_ = true;
}

void SteeringDecider::apply(Base::TimePoint now, const BeliefsSynchronized&)
{
    isSynchronized_ = true;
    noteCompleteness(now);
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
    return packet.opensFlow ? decideFirst(now, packet, *route, bytes) : decideLater(now, packet, *route);
}

std::optional<Choice> SteeringDecider::choose(
    Base::TimePoint now, const Packet::FlowKey& flow, const CompiledRoute& route, const FlowRecord& record)
{
    const auto* share = route.shareFor(flow);
    if (share == nullptr)
        return std::nullopt;
    const auto isExcluded = [&](const Server& server) {
        if (record.wasOfferedTo(server.entry.number))
            return true;
        if (route.regions.empty())
            return false;
        const auto region = options_.regions.find(server.entry.failureDomain);
        return region == options_.regions.end()
            || std::ranges::find(route.regions, region->second) == route.regions.end();
    };
    return choice_.choose(now,
        { .service = share->service,
            .warmUpRequestsPerSecond = share->warmUpRequestsPerSecond,
            .isExcluded = isExcluded,
            .peers = &peerIds_ });
}

bool SteeringDecider::takeReport(Base::TimePoint now, const LoadReport& report)
{
    const auto peer = peerLoads_.peers().find(report.sender);
    const bool wasSilent = peer != peerLoads_.peers().end() && now - peer->second.heardAt > silence;
    if (!peerLoads_.take(now, report))
        return false;
    const auto domain = servers_.domainIndex(peer->second.failureDomain);
    if (peer->second.failureDomain == options_.failureDomain || !choice_.isDomainUsable(domain))
        return true;
    readiness_.noteHeard(now);
    if (wasSilent)
        reachability_.noteHeard(domain);
    return true;
}

Verdict SteeringDecider::offer(Base::TimePoint now, FlowRecord& record, const Choice& choice)
{
    auto& server = servers_.at(choice.server);
    reachability_.noteAttempt(now, server.domain);
    if (server.unanswered > 1)
        server.suspectUntil = std::max(server.suspectUntil, now + attemptTime);
    FlowProgress::countOffer(record, server);
    record.offeredAt = now;
    record.offeredInattention = inattention_;
    ++statistics_.chosen[static_cast<std::size_t>(choice.tier)];
    return forwardTo(server);
}

Verdict SteeringDecider::decideFirst(
    Base::TimePoint now, const PacketView& packet, const CompiledRoute& route, std::span<const std::byte> bytes)
{
    auto* record = flows_.find(packet.flow);
    if (record != nullptr && record->firstSequence != packet.sequence) {
        // The caller has used its port again.
        progress_.release(*record);
        flows_.erase(packet.flow);
        record = nullptr;
    }
    if (record != nullptr && record->state != FlowState::Opening) {
        // A late copy: the flow's own server knows it.
        const auto index = servers_.find(record->server);
        return index ? forwardTo(servers_.at(*index)) : refuse(packet, Refusal::UnknownToken, VerdictKind::Drop);
    }
    const bool isCopy = record != nullptr;
    ++(isCopy ? statistics_.copies : statistics_.firstPackets);
    FlowRecord untracked;
    if (!isCopy) {
        record = flows_.add(now, packet.flow);
        statistics_.untracked += record == nullptr ? 1 : 0;
        const bool isTracked = record != nullptr;
        record = isTracked ? record : &untracked;
        record->firstSequence = packet.sequence;
        record->firstSeen = now;
    } else {
        noteSilence(now, *record);
    }
    record->lastSeen = now;
    const auto choice = record->offerCount < maximumOffers ? choose(now, packet.flow, route, *record) : std::nullopt;
    if (!choice) {
        // Every server was offered the flow: the last one may still answer.
        const auto last = isCopy ? servers_.find(record->offers[record->offerCount - 1]) : std::nullopt;
        if (last && choice_.isUsable(servers_.at(*last)))
            return forwardTo(servers_.at(*last));
        flows_.erase(packet.flow);
        return refuse(packet, Refusal::NoServer, VerdictKind::Reset);
    }
    const auto verdict = offer(now, *record, *choice);
    report(isCopy ? FlowDecision::Kind::Copied : FlowDecision::Kind::Placed, packet.flow, *record, now, &*choice);
    if (record == &untracked) {
        progress_.release(untracked);
        return verdict;
    }
    if (bytes.size() == FirstPacketBytes {}.size()) {
        PendingOffer pending { .flow = packet.flow, .sequence = packet.sequence };
        std::memcpy(pending.bytes.data(), bytes.data(), bytes.size());
        pending.dueAt = now + reofferDelay();
        pending.inattention = inattention_;
        pendingOffers_.push_back(pending);
    }
    return verdict;
}

Verdict SteeringDecider::decideLater(Base::TimePoint now, const PacketView& packet, const CompiledRoute& route)
{
    auto* record = flows_.find(packet.flow);
    if (record != nullptr && record->state == FlowState::Opening)
        open(now, *record, packet, route);
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
        noteAnswer(now, *record, packet);
        // With a single offer the token alone is enough for what still comes.
        const bool isOver = packet.ends || packet.resets;
        if (isOver && record->offerCount == 1)
            flows_.erase(packet.flow);
        else if (isOver)
            record->state = FlowState::Ended;
    }
    return forwardTo(servers_.at(*index));
}

void SteeringDecider::open(
    Base::TimePoint now, FlowRecord& record, const PacketView& packet, const CompiledRoute& route)
{
    // The caller's first packet after the handshake carries the token of the server it chose. Later tokens may come
    // from a slower server's answer and do not count.
    const auto index = servers_.resolve(packet.token, route.services);
    if (!index)
        return;
    auto& server = servers_.at(*index);
    progress_.open(record, server, packet);
    server.unanswered = 0;
    server.suspectUntil = {};
    server.lastSuccess = now;
    reachability_.noteAnswered(server.domain);
    readiness_.noteAnswered();
    ++statistics_.opened;
    const auto sample = std::chrono::duration_cast<Base::microseconds>(now - record.firstSeen
        - (record.offerCount == 1 ? inattention_ - record.offeredInattention : Base::nanoseconds(0)));
    const auto bucket = std::ranges::lower_bound(handshakeBounds, sample) - handshakeBounds.begin();
    ++statistics_.handshakes[static_cast<std::size_t>(bucket)];
    statistics_.handshakeSum += sample;
    if (record.offerCount == 1)
        handshakeTime_ += (sample - handshakeTime_) / smoothing;
    else
        report(FlowDecision::Kind::Opened, packet.flow, record, now, nullptr);
}

void SteeringDecider::noteAnswer(Base::TimePoint now, FlowRecord& record, const PacketView& packet)
{
    const auto shortAnswer = progress_.track(now, record, packet);
    if (!shortAnswer)
        return;
    ++statistics_.shortAnswers;
    if (!options_.onDecision)
        return;
    options_.onDecision({ .kind = FlowDecision::Kind::ShortAnswer,
        .flow = packet.flow,
        .sequence = record.firstSequence,
        .server = record.server,
        .configurationVersion = configurationVersion(),
        .age = std::chrono::duration_cast<Base::microseconds>(now - record.firstSeen),
        .answerBytes = shortAnswer->bytes,
        .usualAnswerBytes = shortAnswer->usualBytes,
        .heldFor = shortAnswer->heldFor });
}

void SteeringDecider::noteSilence(Base::TimePoint now, const FlowRecord& record)
{
    // A caller's copy may come while the answer to the first packet is still unread.
    const auto attendedFor = now - record.offeredAt - (inattention_ - record.offeredInattention);
    if (record.offerCount == 0 || attendedFor < reofferDelay())
        return;
    const auto index = servers_.find(record.offers[record.offerCount - 1]);
    if (!index)
        return;
    ++statistics_.unanswered;
    auto& server = servers_.at(*index);
    ++server.unanswered;
    reachability_.noteUnanswered(now, server.domain);
    readiness_.noteUnanswered(now, reachability_.unansweredInRow());
    const bool isLikelyLoss = server.unanswered == 1 && now - server.lastSuccess < recentSuccess;
    if (isLikelyLoss)
        return;
    const auto doublings = std::min<uint32_t>(server.unanswered, 4) - 1;
    server.suspectUntil
        = std::max(server.suspectUntil, now + std::min(longestSuspicion, firstSuspicion * (1 << doublings)));
}

Base::microseconds SteeringDecider::reofferDelay() const
{
    return std::clamp<Base::microseconds>(
        handshakeTime_ * handshakesUntilReoffer, shortestReofferDelay, longestReofferDelay);
}

Base::TimePoint SteeringDecider::dueTime(const PendingOffer& pending) const
{
    return pending.dueAt + (inattention_ - pending.inattention);
}

std::optional<Reoffer> SteeringDecider::reoffer(Base::TimePoint now, const PendingOffer& pending)
{
    auto* record = flows_.find(pending.flow);
    const bool isOpening = record != nullptr && record->state == FlowState::Opening
        && record->firstSequence == pending.sequence && record->offerCount < maximumOffers;
    const auto* route = routes_.find(pending.flow.service);
    if (!isOpening || route == nullptr)
        return std::nullopt;
    noteSilence(now, *record);
    const auto choice = choose(now, pending.flow, *route, *record);
    // Only a sound server is worth a further offer; else the caller's own copy comes soon enough.
    if (!choice || choice->tier != ChoiceTier::Sound)
        return std::nullopt;
    ++statistics_.reoffers;
    const auto verdict = offer(now, *record, *choice);
    report(FlowDecision::Kind::Reoffered, pending.flow, *record, now, &*choice);
    return Reoffer { .bytes = pending.bytes, .verdict = verdict };
}

bool SteeringDecider::keepRecord(Base::TimePoint now, const Packet::FlowKey& flow, FlowRecord& record)
{
    const auto quietFor = now - record.lastSeen;
    if (record.state == FlowState::Opening && quietFor >= openingTime) {
        ++statistics_.neverOpened;
        if (record.offerCount > 0)
            record.server = record.offers[record.offerCount - 1];
        report(FlowDecision::Kind::NeverOpened, flow, record, now, nullptr);
        progress_.release(record);
        return false;
    }
    if (quietFor >= quietTime)
        progress_.release(record);
    const auto idleTimeout = configuration_ ? configuration_->idleTimeout : Base::milliseconds(0);
    const bool isForgotten = quietFor >= std::max<Base::nanoseconds>(idleTimeout, quietTime)
        || now - record.firstSeen >= options_.flowLifetime;
    if (isForgotten)
        progress_.release(record);
    return !isForgotten;
}

std::vector<Reoffer> SteeringDecider::handleTimers(Base::TimePoint now)
{
    std::vector<Reoffer> reoffers;
    while (!pendingOffers_.empty() && dueTime(pendingOffers_.front()) <= now) {
        const auto pending = pendingOffers_.front();
        pendingOffers_.pop_front();
        if (auto again = reoffer(now, pending))
            reoffers.push_back(*again);
    }
    if (now < nextExpiry_)
        return reoffers;
    nextExpiry_ = now + expiryInterval;
    flows_.check(now, [&](const Packet::FlowKey& flow, FlowRecord& record) { return keepRecord(now, flow, record); });
    quality_.expire(now);
    servers_.expire(now);
    peerLoads_.expire(now);
    // A start lists thousands of peers at once; working it out for each of them would take seconds.
    if (isTopologyStale_)
        topology_.update(peerLoads_.peers());
    isTopologyStale_ = false;
    // In a large domain not everybody reports here.
    readiness_.setOutnumbered(now, topology_.cellCount() == 1 && presence_.isOutnumbered(now, peerLoads_.peers()));
    allowance_.expire(now);
    return reoffers;
}

Base::TimePoint SteeringDecider::nextTimer(Base::TimePoint now) const
{
    const auto expiry = std::max(now, nextExpiry_);
    return pendingOffers_.empty() ? expiry : std::min(expiry, dueTime(pendingOffers_.front()));
}

std::vector<ServerLoad> SteeringDecider::ownLoads()
{
    std::vector<ServerLoad> loads;
    servers_.forEach([&](ServerIndex, const Server& server) {
        if (server.ownInProgress > 0)
            loads.push_back({ .number = server.entry.number, .inProgress = server.ownInProgress });
    });
    return loads;
}

void SteeringDecider::report(FlowDecision::Kind kind, const Packet::FlowKey& flow, const FlowRecord& record,
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
        decision.ownInProgress = server.ownInProgress;
        decision.peersInProgress = server.peersInProgress;
    }
    options_.onDecision(decision);
}

}
