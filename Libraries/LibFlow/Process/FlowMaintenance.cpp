#include <LibFlow/Process/FlowMaintenance.h>
#include <algorithm>

namespace Flow {

namespace {

    constexpr Base::milliseconds sweepDuration { 500 };
    constexpr Base::milliseconds expeditedSweepDuration { 50 };
    /// Time for which the record of an ended flow is kept for late packets.
    constexpr Base::seconds closedRecordTimeout { 5 };
    constexpr Base::seconds abandonedRecordTimeout { 30 };
    constexpr Base::seconds finishedRedirectTimeout { 10 };
    /// Idle timeout of a flow of which one side has finished, if the regular one is not shorter.
    constexpr Base::seconds halfClosedTimeout { 60 };
    constexpr Base::seconds minimumHalfOpenTimeout { 5 };
    /// Minimum age at which an exception is copied: most flows end earlier. Doubles while the control budget does not
    /// suffice.
    constexpr Base::milliseconds minimumCopyDelay { 250 };
    constexpr Base::milliseconds copyDelayLimit { 64'000 };
    /// Bytes of one flow, and of the header of a group, in an exceptions message.
    constexpr std::size_t flowBytes = 8;
    constexpr std::size_t groupBytes = 16;
    constexpr std::size_t maximumBatchBytes = 1200;

}

void FlowMaintenance::handleTick(TimePoint now, ActionWriter& writer)
{
    if (lastTick_ == TimePoint::min())
        lastTick_ = now;
    auto elapsed = std::min<TimePoint::duration>(now - lastTick_, sweepDuration);
    lastTick_ = now;
    std::size_t recordCount = state_.flows.allocatedRecords();
    auto duration = isExpedited_ ? expeditedSweepDuration : sweepDuration;
    pendingVisits_ += static_cast<double>(recordCount) * Base::toSeconds(elapsed) / Base::toSeconds(duration);
    auto visits = static_cast<std::size_t>(pendingVisits_);
    pendingVisits_ -= static_cast<double>(visits);
    state_.flows.sweep(visits, [&](FlowRecord& record) { maintain(now, record); });
    visitedInSweep_ += visits;
    if (batchedBytes_ >= maximumBatchBytes)
        sendBatches(writer);
    if (visitedInSweep_ >= recordCount) {
        sendBatches(writer);
        endSweep(now);
    }
}

void FlowMaintenance::endSweep(TimePoint /*now*/)
{
    visitedInSweep_ = 0;
    isExpedited_ = false;
    state_.statistics.exceptions = exceptions_;
    state_.statistics.unprotectedExceptions = uncopied_;
    state_.statistics.flowBytes = state_.flows.memoryBytes();
    copyDelay_
        = isBudgetExceeded_ ? std::min(copyDelay_ * 2, copyDelayLimit) : std::max(copyDelay_ / 2, minimumCopyDelay);
    if (isLeaving_ && !sweepFoundUncopied_)
        hasCopiedAllExceptions_ = true;
    sweepFoundUncopied_ = false;
    isBudgetExceeded_ = false;
    exceptions_ = 0;
    uncopied_ = 0;
}

void FlowMaintenance::expediteSweep()
{
    isExpedited_ = true;
    visitedInSweep_ = 0;
    copyDelay_ = minimumCopyDelay;
}

void FlowMaintenance::beginLeaving(TimePoint /*now*/)
{
    isLeaving_ = true;
    visitedInSweep_ = 0;
    sweepFoundUncopied_ = false;
}

void FlowMaintenance::maintain(TimePoint now, FlowRecord& record)
{
    if (record.flowState() == FlowState::Queued)
        return;
    const auto* address = state_.routing.classify(record.key());
    const auto* server = state_.routing.findServer(record.server());
    if (!address || !server || server->service != address->service) {
        abandon(now, record);
        state_.flows.erase(record);
        return;
    }
    if (server->isOut()) {
        // Keep the record, so that the caller's next packet is refused.
        abandon(now, record);
        if (FlowRegistry::idleTime(record, now) >= abandonedRecordTimeout)
            state_.flows.erase(record);
        return;
    }
    if (isExpired(now, record, *address->portClass)) {
        state_.flows.erase(record);
        return;
    }
    releaseOverdueSlot(now, record, *address->portClass);
    copyIfException(now, record, *address);
}

void FlowMaintenance::abandon(TimePoint now, FlowRecord& record)
{
    if (record.flowState() == FlowState::Closed)
        return;
    if (!record.isRedirect)
        ++state_.statistics.flowsGivenUp;
    state_.flows.close(record, now);
}

bool FlowMaintenance::isExpired(
    TimePoint now, const FlowRecord& record, const Configuration::PortClass& portClass) const
{
    auto idle = FlowRegistry::idleTime(record, now);
    if (idle >= portClass.idleTimeout)
        return true;
    if (record.flowState() == FlowState::Closed)
        return idle >= closedRecordTimeout;
    if (record.isRedirect)
        return record.callerFinished && idle >= finishedRedirectTimeout;
    if (record.flowState() == FlowState::HalfOpen && !record.isUdp)
        return idle >= std::max<Base::milliseconds>(portClass.deadline, minimumHalfOpenTimeout);
    return (record.callerFinished || record.serverFinished) && idle >= halfClosedTimeout;
}

void FlowMaintenance::releaseOverdueSlot(TimePoint now, FlowRecord& record, const Configuration::PortClass& portClass)
{
    bool endsByDeadline = record.isUdp || portClass.slotUse == Configuration::SlotUse::PerRequest;
    if (record.holdsSlot && endsByDeadline && FlowRegistry::slotTime(record, now) >= portClass.deadline)
        state_.flows.releaseSlot(record);
}

void FlowMaintenance::copyIfException(TimePoint now, FlowRecord& record, const AddressIndex::Entry& address)
{
    if (record.isRedirect || record.isUnconfirmed || record.flowState() != FlowState::Open)
        return;
    auto hash = record.key().hash();
    if (state_.routing.buckets(address.service->id).current().lookUp(hash) == record.server()) {
        record.copyHolderDigest = 0;
        return;
    }
    ++exceptions_;
    auto copyHolder = placement_.exceptionCopyHolder(*address.service, hash);
    const auto* peer = state_.ranking.findPeer(copyHolder);
    bool isCopied = peer && record.copyHolderDigest == digestOf(copyHolder);
    auto age = FlowRegistry::age(record, now);
    if (isCopied && age < address.portClass->idleTimeout / 2)
        return;
    if (!isCopied)
        ++uncopied_;
    if (!peer || !peer->reachable || (age < copyDelay_ && !isLeaving_ && !isExpedited_))
        return;
    sweepFoundUncopied_ = true;
    if (!link_.allows(batchedBytes_ + flowBytes)) {
        isBudgetExceeded_ = true;
        return;
    }
    Group group { .service = record.key().service, .isUdp = record.isUdp != 0, .server = record.server() };
    auto& callers = batches_[copyHolder][group];
    batchedBytes_ += callers.empty() ? groupBytes + flowBytes : flowBytes;
    callers.push_back(record.key().caller);
    record.copyHolderDigest = digestOf(copyHolder);
    FlowRegistry::restartAge(record, now);
    uncopied_ -= isCopied ? 0 : 1;
}

uint16_t FlowMaintenance::digestOf(EntryVmId id) const
{
    const auto* peer = state_.ranking.findPeer(id);
    return peer ? static_cast<uint16_t>(Base::mix(id.value, peer->incarnation) | 1U) : uint16_t { 0 };
}

void FlowMaintenance::sendBatches(ActionWriter& writer)
{
    for (const auto& [copyHolder, batch] : batches_) {
        std::vector<uint64_t> values;
        for (const auto& [group, callers] : batch) {
            values.insert(values.end(),
                { group.service.address.value, group.service.port, group.isUdp ? 1U : 0U, group.server.value,
                    callers.size() });
            for (const auto& caller : callers)
                values.insert(values.end(), { caller.address.value, caller.port });
        }
        link_.send(copyHolder, ControlKind::Exceptions, std::move(values), writer);
    }
    batches_.clear();
    batchedBytes_ = 0;
}

Base::ErrorOr<void> FlowMaintenance::handleMessage(TimePoint now, const PeerMessage& message)
{
    constexpr std::size_t groupFields = 5;
    const auto& values = message.values;
    std::vector<std::pair<Group, Base::Ipv4Endpoint>> flows;
    auto endpoint = [&](std::size_t i) {
        return Base::Ipv4Endpoint { .address = { static_cast<uint32_t>(values[i]) },
            .port = static_cast<uint16_t>(values[i + 1]) };
    };
    for (std::size_t i = 0; i < values.size();) {
        bool hasGroup = values.size() - i >= groupFields && values[i + 4] <= (values.size() - i - groupFields) / 2;
        if (!hasGroup)
            return Base::makeError(Base::ErrorCode::Malformed, "exceptions message is truncated");
        Group group {
            .service = endpoint(i), .isUdp = values[i + 2] != 0, .server = { static_cast<uint32_t>(values[i + 3]) }
        };
        std::size_t end = i + groupFields + values[i + 4] * 2;
        for (i += groupFields; i < end; i += 2)
            flows.emplace_back(group, endpoint(i));
    }
    for (const auto& [group, caller] : flows)
        applyExceptionCopy(now, group, caller);
    return {};
}

void FlowMaintenance::applyExceptionCopy(TimePoint now, const Group& group, const Base::Ipv4Endpoint& caller)
{
    Packet::FlowKey key { .caller = caller,
        .service = group.service,
        .protocol = group.isUdp ? Packet::IpProtocol::Udp : Packet::IpProtocol::Tcp };
    const auto* address = state_.routing.classify(key);
    const auto* server = state_.routing.findServer(group.server);
    if (!address || !server || server->service != address->service || server->isOut())
        return;
    auto* record = state_.flows.find(key);
    if (!record) {
        state_.flows.addRedirect(now, key, group.server);
        return;
    }
    if (record->flowState() == FlowState::Queued) {
        // Its datagram is queued in case such a copy arrives; the queue then forwards it.
        record->backendServer = group.server.value;
        return;
    }
    if (!record->isRedirect && record->server() == group.server) {
        record->isUnconfirmed = 0;
        return;
    }
    bool isReplaceable = record->isRedirect || record->isUnconfirmed || record->flowState() == FlowState::Closed;
    if (!isReplaceable)
        return;
    state_.flows.makeRedirect(*record, now, group.server);
    FlowRegistry::touch(*record, now);
}

}
