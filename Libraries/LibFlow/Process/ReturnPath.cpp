#include <LibFlow/Process/ReturnPath.h>

namespace Flow {

namespace {

    /// Maximum number of backend servers guessed for a flow whose record was lost.
    constexpr uint32_t rejectedGuessLimit = 6;
    /// After a takeover, a balancer adopts flows without a record from datagrams and SYN-ACKs of a backend server for
    /// this time.
    constexpr Base::seconds takeoverAdoptionWindow { 30 };

}

void ReturnPath::handle(TimePoint now, const PacketEvent& event, ActionWriter& writer)
{
    const auto* server = state_.routing.findServer(event.backendServer);
    if (!server) {
        writer.drop(event.token, DropReason::UnknownBackendServer);
        return;
    }
    const auto* address = state_.routing.classify(event.packet.key);
    if (!address) {
        writer.drop(event.token, DropReason::UnknownAddress);
        return;
    }
    if (address->service != server->service) {
        writer.drop(event.token, DropReason::WrongServiceForBackendServer);
        return;
    }
    if (server->isOut()) {
        writer.drop(event.token, server->domainOut ? DropReason::DomainOut : DropReason::BackendServerOut);
        return;
    }
    PacketContext context { .event = event,
        .service = *address->service,
        .portClass = *address->portClass,
        .flowHash = event.packet.key.hash() };
    auto* record = state_.flows.find(event.packet.key);
    bool isGuessRejected = context.wasForwardedFor(HandOverReason::NotHere) && event.handOver.flowOwnerId.isValid();
    if (isGuessRejected)
        handleGuessRejectedAtOwner(now, context, record, writer);
    else if (record && record->flowState() == FlowState::Queued)
        writer.drop(event.token, DropReason::StaleAnswer);
    else if (record && !record->isRedirect)
        handleLocal(now, context, *record, writer);
    else
        handleUnrecorded(now, context, writer);
}

void ReturnPath::handleLocal(TimePoint now, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    const auto& packet = context.event.packet;
    if (record.server() != context.event.backendServer) {
        // The guessed backend server was wrong: the response shows which one has the flow.
        if (record.isUnconfirmed && !packet.flags.rst && !packet.flags.syn) {
            state_.flows.erase(record);
            handleUnrecorded(now, context, writer);
            return;
        }
        // Two balancers may have decided on the flow while their views differed: let the owner of the responding
        // backend server check its records.
        auto owner = placement_.actingOwner(context.event.backendServer);
        if (owner.isValid() && owner != state_.options.self && context.event.arrival == Arrival::Fabric) {
            writer.handOver(context.event, state_.options.self, owner,
                { .reason = HandOverReason::AskPreviousOwner,
                    .revision = state_.routing.revision(),
                    .backendServer = context.event.backendServer });
            return;
        }
        writer.drop(context.event.token, DropReason::StaleAnswer);
        return;
    }
    if (packet.flags.rst && record.isUnconfirmed) {
        handleGuessRejected(now, context, record, writer);
        return;
    }
    if (handleFirstPacketRefusal(now, context, record, writer))
        return;
    updateRecord(now, context, record);
    firstPacketHandler_.releaseCopy(context.key(), record, writer);
    writer.forwardToCaller(context.event.token);
}

bool ReturnPath::handleFirstPacketRefusal(
    TimePoint now, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    if (!context.event.packet.flags.rst || record.flowState() != FlowState::HalfOpen)
        return false;
    auto& runtime = state_.runtimes[record.server()];
    if (runtime.health.recordRefusal(now))
        runtime.warmUp.restart(now);
    AddressIndex::Entry address { .service = &context.service, .portClass = &context.portClass };
    if (firstPacketHandler_.retryRefused(now, address, record, writer)) {
        writer.drop(context.event.token, DropReason::StaleAnswer);
        return true;
    }
    firstPacketHandler_.releaseCopy(context.key(), record, writer);
    state_.flows.close(record, now);
    ++state_.statistics.refusals.at(static_cast<std::size_t>(RefusalReason::RefusedByBackendServer));
    writer.forwardToCaller(context.event.token);
    return true;
}

void ReturnPath::updateRecord(TimePoint now, const PacketContext& context, FlowRecord& record)
{
    const auto& packet = context.event.packet;
    FlowRegistry::touch(record, now);
    record.isUnconfirmed = 0;
    if (record.flowState() == FlowState::HalfOpen) {
        state_.runtimes[record.server()].health.recordResponse();
        state_.flows.open(record);
    }
    if (packet.payloadLength > 0)
        state_.flows.endAwaitingResponse(record);
    bool endsRequest = (packet.payloadLength > 0 || packet.flags.fin)
        && (context.portClass.slotUse == Configuration::SlotUse::PerRequest || context.isUdp());
    if (endsRequest && record.holdsSlot) {
        firstPacketHandler_.recordResponseTime(context.service.id, FlowRegistry::slotTime(record, now));
        state_.flows.releaseSlot(record);
    }
    closeIfFinished(now, context, record);
}

void ReturnPath::closeIfFinished(TimePoint now, const PacketContext& context, FlowRecord& record)
{
    const auto& flags = context.event.packet.flags;
    if (record.flowState() == FlowState::Closed)
        return;
    if (flags.fin)
        record.serverFinished = 1;
    bool isFinished = flags.rst || (record.serverFinished && record.callerFinished);
    if (!isFinished)
        return;
    if (record.holdsSlot)
        firstPacketHandler_.recordResponseTime(context.service.id, FlowRegistry::slotTime(record, now));
    state_.flows.close(record, now);
}

void ReturnPath::handleUnrecorded(TimePoint now, const PacketContext& context, ActionWriter& writer)
{
    auto server = context.event.backendServer;
    auto ranks = placement_.ranks(server);
    bool isQuery = context.wasForwardedFor(HandOverReason::AskPreviousOwner);
    if (isQuery) {
        writer.handOver(context.event, state_.options.self, context.event.sender,
            { .reason = HandOverReason::NotHere, .revision = state_.routing.revision(), .backendServer = server });
        return;
    }
    if (!ranks.acting.isValid() && !context.isUdp()) {
        // No balancer with a record is reachable: the TCP stack of the caller rejects stale packets itself.
        writer.forwardToCaller(context.event.token);
        return;
    }
    if (ranks.acting != state_.options.self && ranks.acting != context.event.sender) {
        writer.handOver(context.event, state_.options.self, ranks.acting,
            { .reason = HandOverReason::ToOwner, .revision = state_.routing.revision(), .backendServer = server });
        return;
    }
    bool isQueryResponse = context.wasForwardedFor(HandOverReason::NotHere);
    auto formers = placement_.formerOwners(now, server, false);
    bool mayQuery = !isQueryResponse && !formers.empty() && formers.front() != context.event.sender
        && context.hops() + 2 <= maximumHandOvers;
    if (mayQuery) {
        writer.handOver(context.event, state_.options.self, formers.front(),
            { .reason = HandOverReason::AskPreviousOwner,
                .revision = state_.routing.revision(),
                .backendServer = server });
        return;
    }
    adopt(now, context, writer);
}

void ReturnPath::adopt(TimePoint now, const PacketContext& context, ActionWriter& writer)
{
    const auto& packet = context.event.packet;
    auto server = context.event.backendServer;
    auto& runtime = state_.runtimes[server];
    bool isRecent
        = runtime.tookOverAt != TimePoint::min() && now - runtime.tookOverAt < Base::seconds { takeoverAdoptionWindow };
    bool provesFlow = context.isUdp() ? isRecent : !packet.flags.rst && (!packet.flags.syn || isRecent);
    if (!provesFlow) {
        writer.drop(context.event.token, DropReason::NoFlow);
        return;
    }
    auto* record = state_.flows.find(context.key());
    if (record && record->server() != server && !record->isUnconfirmed) {
        writer.drop(context.event.token, DropReason::StaleAnswer);
        return;
    }
    if (record)
        state_.flows.makeLocal(*record, now, server, FlowState::Open);
    else
        record = state_.flows.addLocal(now, context.key(), server, FlowState::Open);
    if (!record) {
        writer.drop(context.event.token, DropReason::NoFlow);
        return;
    }
    ++state_.statistics.flowsAdopted;
    bool occupiesSlot = !context.isUdp() && context.portClass.slotUse == Configuration::SlotUse::PerFlow;
    if (occupiesSlot)
        state_.flows.acquireSlot(*record, now);
    runtime.share.recordAdoption(occupiesSlot);
    updateRecord(now, context, *record);
    writer.forwardToCaller(context.event.token);
}

void ReturnPath::handleGuessRejected(
    TimePoint now, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    auto flowOwner = placement_.findOwner(context.service, context.flowHash).balancer;
    if (flowOwner == state_.options.self || !flowOwner.isValid()) {
        tryNextCandidate(now, context, record, writer);
        return;
    }
    // The owner of the flow made the guess; it tries the next backend server with the next packet from the caller.
    state_.flows.erase(record);
    writer.handOver(context.event, state_.options.self, flowOwner,
        { .reason = HandOverReason::NotHere,
            .revision = state_.routing.revision(),
            .flowOwnerId = flowOwner,
            .backendServer = context.event.backendServer });
}

void ReturnPath::handleGuessRejectedAtOwner(
    TimePoint now, const PacketContext& context, FlowRecord* record, ActionWriter& writer)
{
    if (record && record->server() == context.event.backendServer && record->isUnconfirmed) {
        tryNextCandidate(now, context, *record, writer);
        return;
    }
    if (record && record->server() != context.event.backendServer) {
        writer.drop(context.event.token, DropReason::StaleAnswer);
        return;
    }
    if (record && record->flowState() != FlowState::Queued)
        state_.flows.erase(*record);
    writer.forwardToCaller(context.event.token);
}

void ReturnPath::tryNextCandidate(TimePoint now, const PacketContext& context, FlowRecord& record, ActionWriter& writer)
{
    uint32_t rejectedGuesses = record.rejectedGuesses + 1;
    auto next = placement_.nextCandidate(context.service, context.flowHash, rejectedGuesses);
    if (next == record.server())
        next = placement_.nextCandidate(context.service, context.flowHash, ++rejectedGuesses);
    state_.flows.erase(record);
    if (!next.isValid() || rejectedGuesses > rejectedGuessLimit) {
        writer.forwardToCaller(context.event.token);
        return;
    }
    ++state_.statistics.resetsWithheld;
    writer.drop(context.event.token, DropReason::StaleAnswer);
    auto* guess = placement_.isOwnedHere(next) ? state_.flows.addLocal(now, context.key(), next, FlowState::Open)
                                               : state_.flows.addRedirect(now, context.key(), next);
    if (!guess)
        return;
    guess->isUnconfirmed = 1;
    guess->rejectedGuesses = static_cast<uint16_t>(rejectedGuesses) & 15U;
}

}
