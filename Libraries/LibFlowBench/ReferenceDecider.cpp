#include <LibFlowBench/ReferenceDecider.h>
#include <algorithm>

namespace FlowBench {

namespace {

    constexpr Base::milliseconds slotWaitTimeout { 250 };

    bool isFirstPacket(const Packet::PacketSummary& packet)
    {
        if (packet.key.protocol == Packet::IpProtocol::Udp)
            return true;
        return packet.flags.syn && !packet.flags.ack;
    }

    void drop(const Flow::PacketEvent& event, Flow::DropReason reason, Flow::Actions& actions)
    {
        actions.emplace_back(Flow::DropPacket { .packet = event.token, .reason = reason });
    }

}

ReferenceDecider::ReferenceDecider(const Options&, std::shared_ptr<ReferenceTable> table)
    : table_(std::move(table))
{
}

Base::ErrorOr<void> ReferenceDecider::setConfiguration(Flow::TimePoint now, Configuration::SnapshotPointer snapshot)
{
    snapshot_ = std::move(snapshot);
    table_->setSnapshot(now, snapshot_);
    return {};
}

Base::ErrorOr<void> ReferenceDecider::handleReport(Flow::TimePoint now, const Flow::BackendServerReport& report)
{
    table_->recordReport(now, report);
    return {};
}

void ReferenceDecider::handlePacket(Flow::TimePoint now, const Flow::PacketEvent& event, Flow::Actions& actions)
{
    if (event.packet.direction == Packet::Direction::ToCaller)
        return handleFromBackendServer(now, event, actions);
    handleFromCaller(now, event, actions);
}

void ReferenceDecider::handleFromCaller(Flow::TimePoint now, const Flow::PacketEvent& event, Flow::Actions& actions)
{
    const auto* service = table_->serviceAt(event.packet.key.service.address);
    if (!service)
        return drop(event, Flow::DropReason::UnknownAddress, actions);
    auto* entry = table_->find(event.packet.key);
    if (entry && entry->isClosing && isFirstPacket(event.packet)) {
        table_->remove(event.packet.key);
        entry = nullptr;
    }
    if (entry)
        return forward(now, event, *entry, actions);
    if (!isFirstPacket(event.packet))
        return drop(event, Flow::DropReason::NoFlow, actions);
    entry = table_->placeFlow(now, event.packet.key, *service);
    if (entry)
        return forward(now, event, *entry, actions);
    actions.emplace_back(Flow::RefuseToCaller {
        .packet = event.token, .reason = Flow::RefusalReason::NoRoom, .truth = Flow::ExecutionStatus::NotRun });
}

void ReferenceDecider::forward(
    Flow::TimePoint now, const Flow::PacketEvent& event, ReferenceTable::Entry& entry, Flow::Actions& actions)
{
    if (!table_->mayReceive(entry.backendServer))
        return drop(event, Flow::DropReason::DomainOut, actions);
    entry.lastPacket = now;
    const bool needsSlot = entry.portClass.slotUse == Configuration::SlotUse::PerRequest;
    if (needsSlot && event.packet.payloadLength > 0 && !table_->reserveSlot(now, entry))
        return holdForSlot(now, event, actions);
    actions.emplace_back(Flow::ForwardToBackendServer { .packet = event.token, .backendServer = entry.backendServer });
    if (event.packet.flags.rst)
        table_->remove(event.packet.key);
}

void ReferenceDecider::handleFromBackendServer(
    Flow::TimePoint now, const Flow::PacketEvent& event, Flow::Actions& actions)
{
    auto* entry = table_->find(event.packet.key);
    if (!entry || entry->backendServer != event.backendServer)
        return drop(event, Flow::DropReason::StaleAnswer, actions);
    entry->lastPacket = now;
    actions.emplace_back(Flow::ForwardToCaller { .packet = event.token });
    if (event.packet.payloadLength > 0 && entry->portClass.slotUse == Configuration::SlotUse::PerRequest)
        table_->releaseSlot(*entry);
    if (event.packet.flags.rst)
        return table_->remove(event.packet.key);
    if (!event.packet.flags.fin)
        return;
    table_->releaseSlot(*entry);
    entry->isClosing = true;
}

void ReferenceDecider::holdForSlot(Flow::TimePoint now, const Flow::PacketEvent& event, Flow::Actions& actions)
{
    const bool isHeldAlready = std::any_of(packetsWaitingForSlot_.begin(), packetsWaitingForSlot_.end(),
        [&](const HeldPacket& held) { return held.event.packet.key == event.packet.key; });
    if (isHeldAlready)
        return drop(event, Flow::DropReason::SlotBusy, actions);
    packetsWaitingForSlot_.push_back({ .event = event, .since = now });
    actions.emplace_back(Flow::HoldPacket { .packet = event.token });
}

void ReferenceDecider::handleTick(Flow::TimePoint now, Flow::Actions& actions)
{
    table_->removeExpired(now);
    std::deque<HeldPacket> waiting;
    waiting.swap(packetsWaitingForSlot_);
    for (const auto& held : waiting) {
        auto* entry = table_->find(held.event.packet.key);
        if (!entry || entry->isClosing || now - held.since > slotWaitTimeout)
            drop(held.event, Flow::DropReason::SlotBusy, actions);
        else if (table_->reserveSlot(now, *entry))
            forward(now, held.event, *entry, actions);
        else
            packetsWaitingForSlot_.push_back(held);
    }
}

std::vector<Flow::BackendServerId> ReferenceDecider::backendServersToProbe() const
{
    std::vector<Flow::BackendServerId> ids;
    if (!snapshot_)
        return ids;
    for (const auto& [name, service] : snapshot_->services) {
        for (const auto& server : service.backendServers)
            ids.push_back(server.id);
    }
    return ids;
}

}
