#include <LibFlowBench/ReferenceTable.h>
#include <algorithm>
#include <cmath>

namespace FlowBench {

namespace {

    /// How long the record of a flow is kept after its FIN, for retransmitted packets.
    constexpr Base::seconds closedFlowRetention { 5 };

}

void ReferenceTable::setSnapshot(Flow::TimePoint now, const Configuration::SnapshotPointer& snapshot)
{
    if (snapshot_ && snapshot->revision <= snapshot_->revision)
        return;
    snapshot_ = snapshot;
    for (const auto& [name, service] : snapshot->services) {
        for (const auto& server : service.backendServers)
            setTarget(now, service, server);
    }
}

void ReferenceTable::setTarget(
    Flow::TimePoint now, const Configuration::Service& service, const Configuration::BackendServer& server)
{
    const bool isNew = !targets_.contains(server.id);
    auto& target = targets_[server.id];
    target.service = service.id;
    target.server = server;
    const auto domain = snapshot_->failureDomains.at(server.failureDomain).state;
    const bool wasOut = target.isOut;
    target.isOut
        = domain == Configuration::FailureDomainState::Out || server.state == Configuration::BackendServerState::Out;
    target.isActive = !target.isOut && server.state == Configuration::BackendServerState::Active;
    const bool isFirstSnapshot = snapshot_->revision.value <= 1;
    if ((isNew && !isFirstSnapshot) || (wasOut && !target.isOut))
        target.warmUpStartedAt = now;
}

void ReferenceTable::recordReport(Flow::TimePoint now, const Flow::BackendServerReport& report)
{
    const auto found = targets_.find(report.backendServer);
    if (found == targets_.end())
        return;
    auto& target = found->second;
    if (target.startToken != 0 && report.startToken > target.startToken)
        target.warmUpStartedAt = now;
    target.startToken = std::max(target.startToken, report.startToken);
}

const Configuration::Service* ReferenceTable::serviceAt(Base::Ipv4Address address) const
{
    for (const auto& [name, service] : snapshot_->services) {
        if (std::find(service.addresses.begin(), service.addresses.end(), address) != service.addresses.end())
            return &service;
    }
    return nullptr;
}

ReferenceTable::Entry* ReferenceTable::find(const Packet::FlowKey& key)
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

double ReferenceTable::warmUpProgress(const Target& target, Flow::TimePoint now)
{
    const auto age = now - target.warmUpStartedAt;
    if (age >= target.server.warmUp)
        return 1;
    return Base::toSeconds(age) / Base::toSeconds(target.server.warmUp);
}

bool ReferenceTable::hasSlot(const Target& target, Flow::TimePoint now)
{
    return target.slots < std::max(1.0, std::floor(target.server.slots * warmUpProgress(target, now)));
}

bool ReferenceTable::hasRoom(const Target& target, Flow::TimePoint now, const Configuration::PortClass& portClass)
{
    if (!target.isActive || target.server.weight == 0)
        return false;
    if (target.connections >= std::max(1.0, std::floor(target.server.connections * warmUpProgress(target, now))))
        return false;
    return portClass.slotUse != Configuration::SlotUse::PerFlow || hasSlot(target, now);
}

ReferenceTable::Entry* ReferenceTable::placeFlow(
    Flow::TimePoint now, const Packet::FlowKey& key, const Configuration::Service& service)
{
    const auto portClass = std::find_if(service.portClasses.begin(), service.portClasses.end(),
        [&](const Configuration::PortClass& candidate) { return candidate.port == key.service.port; });
    if (portClass == service.portClasses.end())
        return nullptr;
    Target* best = nullptr;
    const auto load = [](const Target& target) {
        return static_cast<double>(target.connections + 100 * target.slots + 1) / target.server.weight;
    };
    for (auto& [id, target] : targets_) {
        if (target.service != service.id || !hasRoom(target, now, *portClass))
            continue;
        if (!best || load(target) < load(*best))
            best = &target;
    }
    if (!best)
        return nullptr;
    ++best->connections;
    auto& entry = entries_[key];
    entry = { .service = service.id, .backendServer = best->server.id, .portClass = *portClass, .lastPacket = now };
    if (portClass->slotUse == Configuration::SlotUse::PerFlow)
        reserveSlot(now, entry);
    return &entry;
}

bool ReferenceTable::reserveSlot(Flow::TimePoint now, Entry& entry)
{
    auto& target = targets_.at(entry.backendServer);
    if (entry.holdsSlot)
        return true;
    if (!hasSlot(target, now))
        return false;
    ++target.slots;
    entry.holdsSlot = true;
    return true;
}

void ReferenceTable::releaseSlot(Entry& entry)
{
    if (!entry.holdsSlot)
        return;
    --targets_.at(entry.backendServer).slots;
    entry.holdsSlot = false;
}

void ReferenceTable::remove(const Packet::FlowKey& key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return;
    releaseSlot(found->second);
    --targets_.at(found->second.backendServer).connections;
    entries_.erase(found);
}

bool ReferenceTable::mayReceive(Base::BackendServerId id) const
{
    const auto found = targets_.find(id);
    return found != targets_.end() && !found->second.isOut;
}

void ReferenceTable::removeExpired(Flow::TimePoint now)
{
    if (now - lastExpiryAt_ < Base::seconds(1))
        return;
    lastExpiryAt_ = now;
    std::vector<Packet::FlowKey> expired;
    for (const auto& [key, entry] : entries_) {
        const Base::nanoseconds limit
            = entry.isClosing ? Base::nanoseconds(closedFlowRetention) : Base::nanoseconds(entry.portClass.idleTimeout);
        if (now - entry.lastPacket > limit || !mayReceive(entry.backendServer))
            expired.push_back(key);
    }
    for (const auto& key : expired)
        remove(key);
}

}
