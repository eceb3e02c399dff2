#include <LibFlow/Process/CallerPath.h>
#include <algorithm>

namespace Flow {

void CallerPath::handle(TimePoint now, const PacketEvent& event, ActionWriter& writer)
{
    const auto* address = state_.routing.classify(event.packet.key);
    if (!address) {
        writer.drop(event.token, DropReason::UnknownAddress);
        return;
    }
    PacketContext context { .event = event,
        .service = *address->service,
        .portClass = *address->portClass,
        .flowHash = event.packet.key.hash() };
    if (auto* record = state_.flows.find(event.packet.key))
        handleRecorded(now, context, *record, writer);
    else
        handleUnrecorded(now, context, writer);
}

void CallerPath::handleRecorded(TimePoint now, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    if (record.flowState() == FlowState::Queued)
        handleQueued(now, context, record, writer);
    else if (record.isRedirect)
        handleRedirect(now, context, record, writer);
    else
        handleLocal(now, context, record, writer);
}

void CallerPath::handleQueued(TimePoint /*now*/, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    if (context.event.packet.flags.rst || context.event.packet.flags.fin) {
        firstPacketHandler_.cancel(context.key(), writer);
        state_.flows.erase(record);
    }
    writer.drop(context.event.token, DropReason::DuplicateFirstPacket);
}

void CallerPath::handleRedirect(TimePoint now, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    auto server = record.server();
    const auto* entry = state_.routing.findServer(server);
    if (!entry || entry->isOut()) {
        handleServerOut(now, context, record, entry, writer);
        return;
    }
    auto owner = placement_.actingOwner(server);
    // The balancer to which the record points has no record of the flow: the flow has ended, or there was no capacity
    // for it.
    bool isRejectedByOwner
        = context.wasForwardedFor(HandOverReason::NotHere) && context.event.handOver.backendServer == server;
    if (isRejectedByOwner && context.isFirst() && owner != state_.options.self) {
        state_.flows.erase(record);
        firstPacketHandler_.recordPeerExhausted(context.event.sender, context);
        decideAsNewFlow(now, context, writer);
        return;
    }
    // Don't return the packet to a sender that has just disclaimed the flow, even if that sender owns the backend
    // server in this balancer's view.
    bool isDisclaimed = context.wasForwardedFor(HandOverReason::ToOwner) && owner == context.event.sender
        && context.event.handOver.backendServer == server;
    bool mayBeElsewhere = owner == state_.options.self && !isDisclaimed && !isRejectedByOwner;
    if (mayBeElsewhere && queryFormerOwner(now, context, server, writer))
        return;
    if (owner == state_.options.self || isDisclaimed) {
        state_.flows.erase(record);
        if (context.isFirst() && !context.isUdp())
            decideAsNewFlow(now, context, writer);
        else
            adopt(now, context, server, false, writer);
        return;
    }
    FlowRegistry::touch(record, now);
    if (context.event.packet.flags.fin || context.event.packet.flags.rst)
        record.callerFinished = 1;
    handOver(context, owner, HandOverReason::ToOwner, server, writer, state_.options.self);
}

void CallerPath::handleServerOut(
    TimePoint now, const PacketContext& context, FlowRecord& record, const ServerEntry* entry, ActionWriter& writer)
{
    ++state_.statistics.flowsGivenUp;
    firstPacketHandler_.releaseCopy(context.key(), record, writer);
    state_.flows.erase(record);
    if (context.isFirst() && (!context.isUdp() || context.portClass.idempotent)) {
        decideAsNewFlow(now, context, writer);
        return;
    }
    bool domainOut = entry && entry->domainOut;
    if (context.event.packet.flags.rst)
        writer.drop(context.event.token, domainOut ? DropReason::DomainOut : DropReason::BackendServerOut);
    else
        writer.refuse(context.event.token, domainOut ? RefusalReason::DomainOut : RefusalReason::NoBackendServer,
            ExecutionStatus::Unknown);
}

void CallerPath::handleLocal(TimePoint now, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    auto server = record.server();
    const auto* entry = state_.routing.findServer(server);
    if (!entry || entry->isOut()) {
        handleServerOut(now, context, record, entry, writer);
        return;
    }
    bool reopensFlow = context.isFirst() && !context.isUdp() && record.flowState() == FlowState::Closed;
    if (reopensFlow) {
        state_.flows.erase(record);
        if (context.wasForwardedFor(HandOverReason::ToOwner) && context.event.handOver.backendServer.isValid())
            handOver(context, context.event.sender, HandOverReason::NotHere, server, writer);
        else
            decideAsNewFlow(now, context, writer);
        return;
    }
    // The caller acknowledges a SYN-ACK that this balancer has not seen: the flow was opened through another balancer.
    const auto& flags = context.event.packet.flags;
    bool isOpenedElsewhere = !context.isUdp() && record.flowState() == FlowState::HalfOpen && !flags.syn && !flags.rst;
    if (isOpenedElsewhere) {
        firstPacketHandler_.releaseCopy(context.key(), record, writer);
        state_.flows.erase(record);
        handleUnrecorded(now, context, writer);
        return;
    }
    // The backend server has another owner now: move the flow to that owner, unless it is in a handshake, in the middle
    // of a request, or closing.
    auto owner = placement_.actingOwner(server);
    bool mayOpen = context.isFirst() && !context.isUdp();
    bool mayMove = !mayOpen && record.flowState() == FlowState::Open && !record.holdsSlot && !record.callerFinished
        && !record.serverFinished && context.hops() < maximumHandOvers;
    if (owner != state_.options.self && owner.isValid() && mayMove) {
        state_.flows.makeRedirect(record, now, server);
        handOver(context, owner, HandOverReason::ToOwner, server, writer, state_.options.self);
        return;
    }
    forwardLocal(now, context, record, writer);
}

void CallerPath::forwardLocal(TimePoint now, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    FlowRegistry::touch(record, now);
    const auto& flags = context.event.packet.flags;
    if (!acquireSlotIfNeeded(now, context, record, writer))
        return;
    auto server = record.server();
    if (flags.rst) {
        firstPacketHandler_.releaseCopy(context.key(), record, writer);
        firstPacketHandler_.cancel(context.key(), writer);
        state_.flows.close(record, now);
    } else if (flags.fin) {
        record.callerFinished = 1;
        if (record.serverFinished)
            state_.flows.close(record, now);
    }
    writer.forward(context.event.token, server);
}

bool CallerPath::startsRequest(const PacketContext& context, const FlowRecord& record)
{
    bool perRequest = context.portClass.slotUse == Configuration::SlotUse::PerRequest
        || (context.isUdp() && context.portClass.slotUse == Configuration::SlotUse::PerFlow);
    bool isLive = record.flowState() != FlowState::Closed && !record.serverFinished;
    if (!perRequest || !isLive || context.event.packet.payloadLength == 0 || record.holdsSlot)
        return false;
    // A retransmission of an answered request starts no new request.
    uint32_t sequence = context.event.packet.sequence;
    bool isRetransmission = record.lastRequestSequence != 0 && sequence != 0
        && static_cast<int32_t>(sequence - record.lastRequestSequence) <= 0;
    return !isRetransmission;
}

bool CallerPath::acquireSlotIfNeeded(
    TimePoint now, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    // A duplicate of a datagram in flight would occupy a second slot at the backend server.
    bool isDuplicateInFlight = context.isUdp() && record.holdsSlot && context.event.packet.payloadLength > 0
        && FlowRegistry::slotTime(record, now) < context.portClass.deadline / 2;
    if (isDuplicateInFlight) {
        writer.drop(context.event.token, DropReason::SlotBusy);
        return false;
    }
    if (!startsRequest(context, record))
        return true;
    if (admission_.freeCapacity(now, record.server()).slots == 0) {
        firstPacketHandler_.queueForSlot(now, context, record.server(), writer);
        return false;
    }
    state_.flows.acquireSlot(record, now);
    record.lastRequestSequence = context.event.packet.sequence;
    return true;
}

void CallerPath::handleUnrecorded(TimePoint now, const PacketContext& context, ActionWriter& writer)
{
    if (!context.wasForwardedFor(HandOverReason::AskPreviousOwner)) {
        auto receiver = delegatedFlows_.find(now, context.key());
        bool mayReturn = receiver != context.event.sender || context.wasForwardedFor(HandOverReason::Spill);
        if (receiver.isValid() && mayReturn) {
            handOver(context, receiver, HandOverReason::NotHere, context.event.handOver.backendServer, writer);
            return;
        }
    }
    if (context.wasForwardedFor(HandOverReason::Spill)) {
        if (context.isFirst())
            firstPacketHandler_.decideSpilled(now, context, writer);
        else
            handleForNamedServer(now, context, writer);
        return;
    }
    if (context.wasForwardedFor(HandOverReason::AskPreviousOwner)) {
        handleQuery(now, context, writer);
        return;
    }
    if (context.wasForwardedFor(HandOverReason::ToOwner) && context.event.handOver.backendServer.isValid()) {
        handleForNamedServer(now, context, writer);
        return;
    }
    bool formerOwnerHasNoRecord = context.wasForwardedFor(HandOverReason::NotHere)
        && context.event.handOver.flowOwnerId.isValid() && (!context.isFirst() || context.isUdp())
        && placement_.isOwnedHere(context.event.handOver.backendServer);
    if (formerOwnerHasNoRecord) {
        adopt(now, context, context.event.handOver.backendServer, true, writer);
        return;
    }
    auto flowOwner = placement_.findOwner(context.service, context.flowHash);
    // The sender has disclaimed the flow, and is the authority on that: never return the packet to it.
    bool decidesHere = flowOwner.balancer == state_.options.self || flowOwner.balancer == context.event.sender
        || (context.event.arrival == Arrival::Peer && context.event.handOver.revision > state_.routing.revision());
    bool hasNoServer = !flowOwner.server.isValid() && !flowOwner.balancer.isValid();
    if (decidesHere || (hasNoServer && context.isFirst())) {
        handleAsOwner(now, context, flowOwner, writer);
        return;
    }
    auto reason = context.event.arrival == Arrival::Peer ? HandOverReason::NotHere : HandOverReason::ToOwner;
    handOver(context, flowOwner.balancer, reason, {}, writer);
}

void CallerPath::handleForNamedServer(TimePoint now, const PacketContext& context, ActionWriter& writer)
{
    auto server = context.event.handOver.backendServer;
    const auto* entry = state_.routing.findServer(server);
    if (!entry || entry->service != &context.service) {
        writer.drop(
            context.event.token, entry ? DropReason::WrongServiceForBackendServer : DropReason::UnknownBackendServer);
        return;
    }
    if (entry->isOut()) {
        writer.refuse(context.event.token, entry->domainOut ? RefusalReason::DomainOut : RefusalReason::NoBackendServer,
            ExecutionStatus::Unknown);
        return;
    }
    if (queryFormerOwner(now, context, server, writer))
        return;
    if (context.isFirst() && !context.isUdp()) {
        delegatedFlows_.add(now, context.key(), context.event.sender);
        handOver(context, context.event.sender, HandOverReason::NotHere, server, writer);
        return;
    }
    auto owner = placement_.actingOwner(server);
    if (owner != state_.options.self && owner.isValid() && context.hops() < maximumHandOvers
        && owner != context.event.sender) {
        handOver(context, owner, HandOverReason::ToOwner, server, writer);
        return;
    }
    adopt(now, context, server, true, writer);
}

void CallerPath::handleQuery(TimePoint now, const PacketContext& context, ActionWriter& writer)
{
    auto flowOwner = placement_.findOwner(context.service, context.flowHash);
    bool isBehind = state_.routing.revision() < context.event.handOver.revision;
    if (flowOwner.balancer == state_.options.self || isBehind)
        delegatedFlows_.add(now, context.key(), context.event.sender);
    auto querySender = context.event.sender;
    auto recordOwner = context.event.handOver.flowOwnerId;
    bool notifiesOwner = context.isFirst() && !context.isUdp() && recordOwner.isValid();
    handOver(context, notifiesOwner ? recordOwner : querySender, HandOverReason::NotHere,
        context.event.handOver.backendServer, writer, recordOwner);
}

bool CallerPath::queryFormerOwner(
    TimePoint now, const PacketContext& context, BackendServerId server, ActionWriter& writer)
{
    if (!placement_.isOwnedHere(server) || context.hops() + 2 > maximumHandOvers)
        return false;
    auto formers = placement_.formerOwners(now, server, context.isFirst() && !context.isUdp());
    // A former owner that forwards the packet itself has just disclaimed the flow.
    if (formers.empty() || formers.front() == context.event.sender)
        return false;
    handOver(
        context, formers.front(), HandOverReason::AskPreviousOwner, server, writer, context.event.handOver.flowOwnerId);
    return true;
}

void CallerPath::handleAsOwner(
    TimePoint now, const PacketContext& context, const Placement::FlowOwner& flowOwner, ActionWriter& writer)
{
    if (queryCandidateHolder(now, context, flowOwner, writer))
        return;
    if (context.isFirst()) {
        firstPacketHandler_.decide(now, context, flowOwner.server, writer);
        return;
    }
    if (placement_.mustHaveEnded(context.service, flowOwner, context.flowHash)) {
        writer.refuse(context.event.token, RefusalReason::DomainOut, ExecutionStatus::Unknown);
        return;
    }
    auto likely = placement_.likelyServer(context.service, flowOwner, context.flowHash);
    if (!likely.isValid()) {
        writer.drop(context.event.token, DropReason::NoFlow);
        return;
    }
    adopt(now, context, likely, true, writer);
}

bool CallerPath::queryCandidateHolder(
    TimePoint now, const PacketContext& context, const Placement::FlowOwner& flowOwner, ActionWriter& writer)
{
    auto candidateHolders
        = placement_.candidateHolders(now, { .service = &context.service, .portClass = &context.portClass }, flowOwner,
            context.flowHash, context.isFirst());
    // A sender with a newer configuration treats this balancer as the owner of the flow: query the owner by the local
    // configuration first.
    if (flowOwner.balancer.isValid() && flowOwner.balancer != state_.options.self
        && flowOwner.balancer != context.event.sender)
        candidateHolders.insert(
            candidateHolders.begin(), { .balancer = flowOwner.balancer, .server = flowOwner.server });
    std::size_t next = 0;
    if (context.wasForwardedFor(HandOverReason::NotHere)) {
        for (std::size_t i = 0; i < candidateHolders.size(); ++i) {
            if (candidateHolders[i].balancer == context.event.sender)
                next = i + 1;
        }
    }
    while (next < candidateHolders.size() && candidateHolders[next].balancer == context.event.sender)
        ++next;
    // The response needs a transfer, too.
    if (next >= candidateHolders.size() || context.hops() + 2 > maximumHandOvers)
        return false;
    handOver(context, candidateHolders[next].balancer, HandOverReason::AskPreviousOwner, candidateHolders[next].server,
        writer);
    return true;
}

void CallerPath::decideAsNewFlow(TimePoint now, const PacketContext& context, ActionWriter& writer)
{
    auto flowOwner = placement_.findOwner(context.service, context.flowHash);
    if (flowOwner.balancer == state_.options.self || context.wasForwardedFor(HandOverReason::NotHere))
        firstPacketHandler_.decide(now, context, flowOwner.server, writer);
    else
        handOver(context, flowOwner.balancer, HandOverReason::ToOwner, {}, writer);
}

void CallerPath::adopt(
    TimePoint now, const PacketContext& context, BackendServerId server, bool isUnconfirmed, ActionWriter& writer)
{
    auto owner = placement_.actingOwner(server);
    bool isElsewhere = owner.isValid() && owner != state_.options.self && context.hops() < maximumHandOvers
        && owner != context.event.sender;
    if (isElsewhere) {
        if (auto* record = state_.flows.addRedirect(now, context.key(), server))
            record->isUnconfirmed = isUnconfirmed ? 1 : 0;
        handOver(context, owner, HandOverReason::ToOwner, server, writer);
        return;
    }
    auto* record = state_.flows.addLocal(now, context.key(), server, FlowState::Open);
    if (!record) {
        writer.drop(context.event.token, DropReason::NoFlow);
        return;
    }
    ++state_.statistics.flowsAdopted;
    record->isUnconfirmed = isUnconfirmed ? 1 : 0;
    bool occupiesSlot = !context.isUdp() && context.portClass.slotUse == Configuration::SlotUse::PerFlow;
    if (occupiesSlot)
        state_.flows.acquireSlot(*record, now);
    state_.runtimes[server].share.recordAdoption(occupiesSlot);
    forwardLocal(now, context, *record, writer);
}

void CallerPath::handOver(const PacketContext& context, EntryVmId peer, HandOverReason reason, BackendServerId server,
    ActionWriter& writer, EntryVmId flowOwner)
{
    writer.handOver(context.event, state_.options.self, peer,
        { .reason = reason, .revision = state_.routing.revision(), .flowOwnerId = flowOwner, .backendServer = server });
}

}
