#include <LibFlow/Request/FirstPacketHandler.h>
#include <algorithm>

namespace Flow {

namespace {

    /// A first packet without a response is retried after this fraction (1/4) of its deadline.
    constexpr int firstResponseTimeoutDivisor = 4;
    /// A spilled packet needs one more transfer to be returned.
    constexpr uint8_t maximumHopsBeforeSpill = maximumHandOvers - 2;
    constexpr uint32_t maximumRetries = 2;
    constexpr std::size_t recentRefusalLimit = 65536;
    /// After a takeover, datagrams without a record are queued for this time, in case a copied exception for them
    /// arrives.
    constexpr Base::milliseconds takeoverSettlingTime { 1000 };
    /// After a takeover, datagrams without a record are routed strictly by the bucket table for this time.
    constexpr Base::milliseconds existingFlowWindow { 3000 };
    constexpr double responseTimeSmoothingFactor = 0.1;

    /// Each port class of a service has a retry budget of its own.
    std::pair<ServiceId, uint32_t> budgetKeyOf(ServiceId service, const Configuration::PortClass& portClass)
    {
        return { service, (static_cast<uint32_t>(portClass.port) << 8) | static_cast<uint32_t>(portClass.protocol) };
    }

}

FirstPacketHandler::FirstPacketHandler(
    DeciderState& state, const Placement& placement, LoadView& loadView, const Admission& admission)
    : state_(state)
    , placement_(placement)
    , loadView_(loadView)
    , admission_(admission)
    , queue_(state.options.maximumQueued)
    , retainedPackets_(state.options.maximumQueued)
{
}

void FirstPacketHandler::decide(
    TimePoint now, const PacketContext& context, BackendServerId preferred, ActionWriter& writer)
{
    auto entry = makeQueueEntry(now, context);
    auto refused = recentRefusals_.find(context.key());
    if (refused != recentRefusals_.end() && now < refused->second.until) {
        writer.refuse(entry.token, refused->second.reason, ExecutionStatus::NotRun);
        return;
    }
    if (!preferred.isValid()) {
        refuse(now, entry, RefusalReason::NoBackendServer, writer);
        return;
    }
    auto successor = placement_.ranks(preferred).backup;
    if (state_.isLeaving && placement_.isOwnedHere(preferred) && successor.isValid()) {
        writer.handOver(context.event, state_.options.self, successor,
            { .reason = HandOverReason::ToOwner, .revision = state_.routing.revision() });
        return;
    }
    const auto* serverEntry = state_.routing.findServer(preferred);
    state_.runtimes[preferred].warmUp.earnCredit(now, serverEntry->server->warmUp);
    bool preferredOnly = mayBelongToExistingFlow(now, entry.key, context.portClass, preferred);
    Admission::Request request { .service = &context.service,
        .portClass = &context.portClass,
        .preferred = preferred,
        .preferredOnly = preferredOnly };
    AddressIndex::Entry address { .service = &context.service, .portClass = &context.portClass };
    if (context.isUdp() && isTakeoverSettling(now, preferred)) {
        enqueue(now, context, writer);
        return;
    }
    if (auto server = admission_.choose(now, request, Admission::Balance::Near)) {
        admit(now, entry, address, *server, writer);
        return;
    }
    bool maySpill
        = !preferredOnly && Admission::maySpill(context.portClass) && context.hops() <= maximumHopsBeforeSpill;
    bool needsSlot = Admission::needsSlot(context.portClass);
    if (maySpill) {
        double mean = admission_.meanLoad(now, context.service);
        auto spillTarget = loadView_.chooseBelow(now, context.service.id, needsSlot, mean, state_.random.next());
        if (spillTarget && spill(now, context, *spillTarget, writer))
            return;
    }
    if (auto server = admission_.choose(now, request, Admission::Balance::Any)) {
        admit(now, entry, address, *server, writer);
        return;
    }
    if (maySpill) {
        auto spillTarget = loadView_.choose(now, context.service.id, needsSlot, state_.random.next());
        if (spillTarget && spill(now, context, *spillTarget, writer))
            return;
    }
    enqueue(now, context, writer);
}

bool FirstPacketHandler::spill(
    TimePoint now, const PacketContext& context, const LoadView::SpillTarget& spillTarget, ActionWriter& writer)
{
    const auto* peer = state_.ranking.findPeer(spillTarget.peer);
    bool isUsable = peer && peer->reachable && spillTarget.server.isValid();
    if (!isUsable || !state_.flows.addRedirect(now, context.key(), spillTarget.server))
        return false;
    loadView_.deductCapacity(spillTarget.peer, context.service.id);
    writer.handOver(context.event, state_.options.self, spillTarget.peer,
        { .reason = HandOverReason::Spill,
            .revision = state_.routing.revision(),
            .flowOwnerId = state_.options.self,
            .backendServer = spillTarget.server });
    return true;
}

void FirstPacketHandler::decideSpilled(TimePoint now, const PacketContext& context, ActionWriter& writer)
{
    Admission::Request request {
        .service = &context.service, .portClass = &context.portClass, .preferred = context.event.handOver.backendServer
    };
    AddressIndex::Entry address { .service = &context.service, .portClass = &context.portClass };
    for (auto balance : { Admission::Balance::Near, Admission::Balance::Any }) {
        if (auto server = admission_.choose(now, request, balance)) {
            admit(now, makeQueueEntry(now, context), address, *server, writer);
            return;
        }
    }
    writer.handOver(context.event, state_.options.self, context.event.sender,
        { .reason = HandOverReason::NotHere,
            .revision = state_.routing.revision(),
            .flowOwnerId = context.event.handOver.flowOwnerId,
            .backendServer = context.event.handOver.backendServer });
}

void FirstPacketHandler::recordPeerExhausted(EntryVmId peer, const PacketContext& context)
{
    loadView_.markExhausted(peer, context.service.id);
}

void FirstPacketHandler::admit(TimePoint now, const AdmissionQueue::Entry& entry, const AddressIndex::Entry& address,
    BackendServerId server, ActionWriter& writer)
{
    auto* record = state_.flows.find(entry.key);
    if (record)
        state_.flows.makeLocal(*record, now, server, FlowState::HalfOpen);
    else
        record = state_.flows.addLocal(now, entry.key, server, FlowState::HalfOpen);
    if (!record) {
        refuse(now, entry, RefusalReason::NoRoom, writer);
        return;
    }
    const auto& portClass = *address.portClass;
    if (Admission::needsSlot(portClass))
        state_.flows.acquireSlot(*record, now);
    if (Admission::awaitsRequest(portClass))
        state_.flows.awaitFirstResponse(*record);
    state_.runtimes[server].warmUp.spendCredit();
    ++state_.statistics.flowsAdmitted;
    if (state_.routing.buckets(entry.service).current().lookUp(entry.key.hash()) != server)
        ++state_.statistics.flowsSpilled;
    retryBudget_.recordFirstAttempt(budgetKeyOf(entry.service, portClass), portClass.retryPermille);
    bool mayRetry = portClass.retryPermille > 0
        && (portClass.protocol == Configuration::Protocol::Tcp ? entry.payloadLength == 0 : portClass.idempotent);
    RetainedPackets::Entry kept { .token = entry.token, .sentTo = server, .sentAt = now, .deadline = entry.deadline };
    if (mayRetry && retainedPackets_.add(entry.key, kept)) {
        record->hasCopy = 1;
        state_.statistics.keptCopies = retainedPackets_.size();
        writer.keepCopy(entry.token);
    }
    writer.forward(entry.token, server);
}

AdmissionQueue::Entry FirstPacketHandler::makeQueueEntry(TimePoint now, const PacketContext& context)
{
    return {
        .key = context.key(),
        .token = context.event.token,
        .service = context.service.id,
        .priority = context.portClass.priority,
        .weight = context.portClass.weight,
        .deadline = now + context.portClass.deadline,
        .flags = context.event.packet.flags,
        .payloadLength = context.event.packet.payloadLength,
        .sequence = context.event.packet.sequence,
        .hops = context.hops(),
        .origin = context.event.handOver.origin,
    };
}

void FirstPacketHandler::enqueue(TimePoint now, const PacketContext& context, ActionWriter& writer)
{
    auto entry = makeQueueEntry(now, context);
    // A packet of an earlier flow with the same key may still be queued for a slot.
    cancel(entry.key, writer);
    if (!state_.flows.addQueued(now, entry.key)) {
        refuse(now, entry, RefusalReason::NoRoom, writer);
        return;
    }
    addToQueue(now, entry, writer);
}

void FirstPacketHandler::addToQueue(TimePoint now, const AdmissionQueue::Entry& entry, ActionWriter& writer)
{
    auto displaced = queue_.push(entry);
    if (displaced && displaced->backendServer.isValid())
        --state_.runtimes[displaced->backendServer].waitingForSlot;
    state_.statistics.queueLength = queue_.size();
    if (!displaced || displaced->token != entry.token)
        writer.hold(entry.token);
    if (displaced && displaced->backendServer.isValid())
        writer.drop(displaced->token, DropReason::QueueFull);
    else if (displaced)
        refuse(now, *displaced, RefusalReason::ShedByPriority, writer);
}

void FirstPacketHandler::queueForSlot(
    TimePoint now, const PacketContext& context, BackendServerId server, ActionWriter& writer)
{
    if (queue_.contains(context.key())) {
        writer.drop(context.event.token, DropReason::SlotBusy);
        return;
    }
    auto entry = makeQueueEntry(now, context);
    entry.backendServer = server;
    ++state_.runtimes[server].waitingForSlot;
    addToQueue(now, entry, writer);
}

void FirstPacketHandler::cancel(const Packet::FlowKey& key, ActionWriter& writer)
{
    auto entry = dequeue(key);
    state_.statistics.queueLength = queue_.size();
    if (entry)
        writer.drop(entry->token, DropReason::NoFlow);
}

void FirstPacketHandler::refuse(
    TimePoint now, const AdmissionQueue::Entry& entry, RefusalReason reason, ActionWriter& writer)
{
    auto* record = state_.flows.find(entry.key);
    if (record && record->flowState() == FlowState::Queued)
        state_.flows.erase(*record);
    bool isUdp = entry.key.protocol == Packet::IpProtocol::Udp;
    bool isUnknown = mayHaveReachedServer(now, entry);
    // The datagram may belong to an established flow, which a refusal would end; the caller will retransmit it.
    if (isUdp && isUnknown) {
        writer.drop(entry.token, DropReason::SlotBusy);
        return;
    }
    if (isUdp && recentRefusals_.size() < recentRefusalLimit) {
        auto lifetime = std::max(entry.deadline - now, TimePoint::duration { Base::seconds { 1 } });
        recentRefusals_[entry.key] = { .until = now + lifetime, .reason = reason };
    }
    writer.refuse(entry.token, reason, isUnknown ? ExecutionStatus::Unknown : ExecutionStatus::NotRun);
}

bool FirstPacketHandler::isTakeoverSettling(TimePoint now, BackendServerId server) const
{
    auto runtime = state_.runtimes.find(server);
    return runtime != state_.runtimes.end() && runtime->second.tookOverAt != TimePoint::min()
        && now - runtime->second.tookOverAt < takeoverSettlingTime;
}

bool FirstPacketHandler::mayBelongToExistingFlow(
    TimePoint now, const Packet::FlowKey& key, const Configuration::PortClass& portClass, BackendServerId server) const
{
    auto runtime = state_.runtimes.find(server);
    return key.protocol == Packet::IpProtocol::Udp && runtime != state_.runtimes.end()
        && runtime->second.tookOverAt != TimePoint::min()
        && now - runtime->second.tookOverAt < std::min<Base::milliseconds>(portClass.idleTimeout, existingFlowWindow);
}

bool FirstPacketHandler::mayHaveReachedServer(TimePoint now, const AdmissionQueue::Entry& entry) const
{
    const auto* address = state_.routing.classify(entry.key);
    if (!address)
        return true;
    if (state_.ranking.hasUnreachable())
        return true;
    bool isUdp = entry.key.protocol == Packet::IpProtocol::Udp;
    auto window = isUdp ? address->portClass->idleTimeout : address->portClass->deadline * 2;
    return state_.peersChangedAt != TimePoint::min() && now - state_.peersChangedAt < window;
}

void FirstPacketHandler::expire(TimePoint now, const AdmissionQueue::Entry& entry, ActionWriter& writer)
{
    if (entry.backendServer.isValid())
        writer.drop(entry.token, DropReason::SlotBusy);
    else
        refuse(now, entry, RefusalReason::DeadlinePassed, writer);
}

void FirstPacketHandler::releaseCopy(const Packet::FlowKey& key, FlowRecord& record, ActionWriter& writer)
{
    if (!record.hasCopy)
        return;
    record.hasCopy = 0;
    if (auto kept = retainedPackets_.remove(key))
        writer.release(kept->token);
    state_.statistics.keptCopies = retainedPackets_.size();
}

void FirstPacketHandler::recordResponseTime(ServiceId service, Base::milliseconds time)
{
    auto [smoothed, isNew] = responseTimes_.try_emplace(service, static_cast<double>(time.count()));
    if (!isNew)
        smoothed->second += responseTimeSmoothingFactor * (static_cast<double>(time.count()) - smoothed->second);
}

Base::milliseconds FirstPacketHandler::responseTime(ServiceId service) const
{
    auto found = responseTimes_.find(service);
    return Base::milliseconds { found == responseTimes_.end() ? 0 : static_cast<int64_t>(found->second) };
}

bool FirstPacketHandler::retryRefused(
    TimePoint now, const AddressIndex::Entry& address, FlowRecord& record, ActionWriter& writer)
{
    return retry(now, address, record, RetryReason::BackendServerRefused, writer);
}

bool FirstPacketHandler::retry(
    TimePoint now, const AddressIndex::Entry& address, FlowRecord& record, RetryReason reason, ActionWriter& writer)
{
    auto key = record.key();
    auto* kept = retainedPackets_.find(key);
    if (!kept || kept->retries >= maximumRetries || now + responseTime(address.service->id) >= kept->deadline)
        return false;
    Admission::Request request {
        .service = address.service, .portClass = address.portClass, .preferred = {}, .excluded = record.server()
    };
    auto server = admission_.choose(now, request, Admission::Balance::Any);
    if (!server || !retryBudget_.tryConsume(budgetKeyOf(address.service->id, *address.portClass)))
        return false;
    writer.retried(record.server(), *server, reason);
    state_.flows.makeLocal(record, now, *server, FlowState::HalfOpen);
    if (Admission::needsSlot(*address.portClass))
        state_.flows.acquireSlot(record, now);
    ++kept->retries;
    kept->sentTo = *server;
    kept->sentAt = now;
    writer.forward(kept->token, *server);
    return true;
}

void FirstPacketHandler::handleTick(TimePoint now, ActionWriter& writer)
{
    for (const auto& entry : queue_.removeExpired(now)) {
        if (entry.backendServer.isValid())
            --state_.runtimes[entry.backendServer].waitingForSlot;
        expire(now, entry, writer);
    }
    retryUnanswered(now, writer);
    removeExpiredRefusals(now);
    dispatchQueued(now, writer);
}

void FirstPacketHandler::retryUnanswered(TimePoint now, ActionWriter& writer)
{
    for (const auto& key : retainedPackets_.sentBefore(now)) {
        auto* kept = retainedPackets_.find(key);
        const auto* address = state_.routing.classify(key);
        auto* record = state_.flows.find(key);
        bool isWaiting = address && record && record->hasCopy && record->flowState() == FlowState::HalfOpen;
        if (isWaiting && now < kept->deadline) {
            // A flow spilled to this balancer is retransmitted by its caller through the flow's owner.
            bool isFlowOwner = placement_.findOwner(*address->service, key.hash()).balancer == state_.options.self;
            if (!isFlowOwner || now - kept->sentAt < address->portClass->deadline / firstResponseTimeoutDivisor)
                continue;
            auto unresponsive = record->server();
            if (retry(now, *address, *record, RetryReason::NoAnswer, writer))
                state_.runtimes[unresponsive].health.recordRefusal(now);
            continue;
        }
        if (record)
            record->hasCopy = 0;
        writer.release(retainedPackets_.remove(key)->token);
    }
    state_.statistics.keptCopies = retainedPackets_.size();
}

void FirstPacketHandler::removeExpiredRefusals(TimePoint now)
{
    std::erase_if(recentRefusals_, [now](const auto& refusal) { return refusal.second.until <= now; });
}

}
