// How packets leave the queue: capacity becomes available, or another balancer takes over.

#include <LibFlow/Request/FirstPacketHandler.h>

namespace Flow {

namespace {

    /// Maximum number of queued packets of a service that are tried in one batch.
    constexpr std::size_t dispatchBatchSize = 16;

}

void FirstPacketHandler::dispatchQueued(TimePoint now, ActionWriter& writer)
{
    for (const auto& subqueue : queue_.subqueues())
        dispatchSubqueue(now, subqueue, writer);
    state_.statistics.queueLength = queue_.size();
}

void FirstPacketHandler::dispatchSubqueue(
    TimePoint now, const AdmissionQueue::SubqueueId& subqueue, ActionWriter& writer)
{
    std::size_t failures = 0;
    while (failures == 0) {
        auto entries = queue_.front(subqueue, dispatchBatchSize);
        if (entries.empty())
            return;
        for (const auto& entry : entries) {
            if (now + responseTime(entry.service) >= entry.deadline) {
                dequeue(entry.key);
                expire(now, entry, writer);
            } else if (subqueue.backendServer.isValid() ? dispatchForSlot(now, entry, writer)
                                                        : dispatch(now, entry, writer)) {
                dequeue(entry.key);
            } else {
                ++failures;
            }
            if (failures > 0 && subqueue.backendServer.isValid())
                return;
        }
    }
}

std::optional<AdmissionQueue::Entry> FirstPacketHandler::dequeue(const Packet::FlowKey& key)
{
    auto entry = queue_.remove(key);
    if (entry && entry->backendServer.isValid())
        --state_.runtimes[entry->backendServer].waitingForSlot;
    return entry;
}

void FirstPacketHandler::handOverQueue(TimePoint now, ActionWriter& writer)
{
    for (const auto& subqueue : queue_.subqueues()) {
        // Flows with a local record are served by this balancer until its peers know that it leaves.
        if (subqueue.backendServer.isValid() && placement_.isOwnedHere(subqueue.backendServer))
            continue;
        for (const auto& entry : queue_.front(subqueue, queue_.size())) {
            dequeue(entry.key);
            handOver(now, entry, writer);
        }
    }
    state_.statistics.queueLength = queue_.size();
}

EntryVmId FirstPacketHandler::receiverOf(const AdmissionQueue::Entry& entry) const
{
    if (entry.backendServer.isValid())
        return placement_.actingOwner(entry.backendServer);
    const auto* address = state_.routing.classify(entry.key);
    if (!address)
        return {};
    auto flowOwner = placement_.findOwner(*address->service, entry.key.hash());
    bool isOwnedByLeavingSelf = state_.isLeaving && flowOwner.balancer == state_.options.self;
    return isOwnedByLeavingSelf ? placement_.ranks(flowOwner.server).backup : flowOwner.balancer;
}

void FirstPacketHandler::handOver(TimePoint now, const AdmissionQueue::Entry& entry, ActionWriter& writer)
{
    auto receiver = receiverOf(entry);
    auto* record = state_.flows.find(entry.key);
    if (record && entry.backendServer.isValid() && receiver == state_.options.self) {
        state_.flows.makeLocal(*record, now, entry.backendServer, FlowState::Open);
        state_.flows.acquireSlot(*record, now);
        writer.forward(entry.token, entry.backendServer);
        return;
    }
    if (record && entry.backendServer.isValid())
        state_.flows.makeRedirect(*record, now, entry.backendServer);
    else if (record && record->flowState() == FlowState::Queued)
        state_.flows.erase(*record);
    PacketEvent event { .packet = { .key = entry.key, .flags = entry.flags },
        .token = entry.token,
        .arrival = entry.hops > 0 ? Arrival::Peer : Arrival::Fabric,
        .handOver = { .hops = entry.hops, .origin = entry.origin } };
    writer.handOver(event, state_.options.self, receiver,
        { .reason = HandOverReason::ToOwner,
            .revision = state_.routing.revision(),
            .backendServer = entry.backendServer });
}

bool FirstPacketHandler::dispatch(TimePoint now, const AdmissionQueue::Entry& entry, ActionWriter& writer)
{
    const auto* address = state_.routing.classify(entry.key);
    if (!address || address->service->id != entry.service) {
        refuse(now, entry, RefusalReason::NoBackendServer, writer);
        return true;
    }
    const auto* record = state_.flows.find(entry.key);
    if (record && record->flowState() == FlowState::Queued && record->server().isValid()) {
        // A copied exception received in the meantime names the backend server of the flow.
        auto known = entry;
        known.backendServer = record->server();
        handOver(now, known, writer);
        return true;
    }
    auto flowOwner = placement_.findOwner(*address->service, entry.key.hash());
    if (entry.key.protocol == Packet::IpProtocol::Udp && isTakeoverSettling(now, flowOwner.server))
        return false;
    bool hasMoved = flowOwner.balancer.isValid() && flowOwner.balancer != state_.options.self;
    if (hasMoved && entry.hops < maximumHandOvers) {
        handOver(now, entry, writer);
        return true;
    }
    Admission::Request request { .service = address->service,
        .portClass = address->portClass,
        .preferred = flowOwner.server,
        .preferredOnly = mayBelongToExistingFlow(now, entry.key, *address->portClass, flowOwner.server) };
    auto server = admission_.choose(now, request, Admission::Balance::Any);
    if (!server)
        return false;
    admit(now, entry, *address, *server, writer);
    return true;
}

bool FirstPacketHandler::dispatchForSlot(TimePoint now, const AdmissionQueue::Entry& entry, ActionWriter& writer)
{
    auto* record = state_.flows.find(entry.key);
    const auto* server = state_.routing.findServer(entry.backendServer);
    bool isLive = record && !record->isRedirect
        && (record->flowState() == FlowState::Open || record->flowState() == FlowState::HalfOpen);
    if (!isLive || record->server() != entry.backendServer || !server || server->isOut()) {
        writer.drop(entry.token, DropReason::NoFlow);
        return true;
    }
    if (!record->holdsSlot && admission_.freeCapacity(now, entry.backendServer).slots == 0)
        return false;
    state_.flows.acquireSlot(*record, now);
    record->lastRequestSequence = entry.sequence;
    writer.forward(entry.token, entry.backendServer);
    return true;
}

}
