#include <LibFlow/Connection/FlowRegistry.h>
#include <algorithm>

namespace Flow {

namespace {

    /// Half-open flows may use 1/8 of the table, so that a flood of first packets cannot displace established flows.
    constexpr std::size_t halfOpenDivisor = 8;
    constexpr std::size_t minimumHalfOpenLimit = 16;

    bool isHalfOpenTcp(const FlowRecord& record)
    {
        return !record.isUdp && !record.isRedirect && record.flowState() == FlowState::HalfOpen;
    }

}

FlowRegistry::FlowRegistry(
    std::size_t maximumFlows, uint64_t seed, BackendServerRuntimes& runtimes, FlowStatistics& statistics)
    : table_(maximumFlows, seed)
    , halfOpenLimit_(std::max(minimumHalfOpenLimit, maximumFlows / halfOpenDivisor))
    , runtimes_(runtimes)
    , statistics_(statistics)
{
}

FlowRecord* FlowRegistry::add(TimePoint now, const Packet::FlowKey& key)
{
    auto* record = table_.insert(key);
    if (!record)
        return nullptr;
    record->lastSeen = clock(now);
    record->startedAt = record->lastSeen;
    statistics_.flowsHeld = table_.size();
    return record;
}

FlowRecord* FlowRegistry::addQueued(TimePoint now, const Packet::FlowKey& key)
{
    auto* record = add(now, key);
    if (record)
        record->setState(FlowState::Queued);
    return record;
}

FlowRecord* FlowRegistry::addRedirect(TimePoint now, const Packet::FlowKey& key, BackendServerId server)
{
    auto* record = add(now, key);
    if (!record)
        return nullptr;
    record->isRedirect = 1;
    record->backendServer = server.value;
    record->setState(FlowState::Open);
    return record;
}

FlowRecord* FlowRegistry::addLocal(TimePoint now, const Packet::FlowKey& key, BackendServerId server, FlowState state)
{
    auto* record = add(now, key);
    if (!record)
        return nullptr;
    assignServer(*record, now, server, state);
    evictExcessHalfOpen();
    return record;
}

void FlowRegistry::makeLocal(FlowRecord& record, TimePoint now, BackendServerId server, FlowState state)
{
    releaseUsage(record);
    assignServer(record, now, server, state);
    evictExcessHalfOpen();
}

void FlowRegistry::makeRedirect(FlowRecord& record, TimePoint now, BackendServerId server)
{
    releaseUsage(record);
    record.isRedirect = 1;
    record.isUnconfirmed = 0;
    record.backendServer = server.value;
    record.copyHolderDigest = 0;
    record.startedAt = clock(now);
    record.setState(FlowState::Open);
}

void FlowRegistry::assignServer(FlowRecord& record, TimePoint now, BackendServerId server, FlowState state)
{
    record.isRedirect = 0;
    record.callerFinished = 0;
    record.serverFinished = 0;
    record.lastRequestSequence = 0;
    record.copyHolderDigest = 0;
    record.backendServer = server.value;
    record.startedAt = clock(now);
    record.setState(state);
    ++runtimes_[server].localUsage.connections;
    if (isHalfOpenTcp(record)) {
        ++statistics_.halfOpen;
        halfOpen_.push_back(record.key());
    }
}

void FlowRegistry::releaseUsage(FlowRecord& record)
{
    releaseSlot(record);
    endAwaitingResponse(record);
    if (!countsAsConnection(record))
        return;
    if (isHalfOpenTcp(record))
        --statistics_.halfOpen;
    --runtimes_[record.server()].localUsage.connections;
}

void FlowRegistry::open(FlowRecord& record)
{
    if (record.flowState() != FlowState::HalfOpen)
        return;
    if (isHalfOpenTcp(record))
        --statistics_.halfOpen;
    record.setState(FlowState::Open);
}

void FlowRegistry::close(FlowRecord& record, TimePoint now)
{
    releaseUsage(record);
    record.setState(FlowState::Closed);
    touch(record, now);
}

void FlowRegistry::erase(FlowRecord& record)
{
    releaseUsage(record);
    table_.erase(record);
    statistics_.flowsHeld = table_.size();
}

void FlowRegistry::awaitFirstResponse(FlowRecord& record)
{
    if (record.awaitsFirstResponse)
        return;
    record.awaitsFirstResponse = 1;
    ++runtimes_[record.server()].awaitingFirstResponse;
}

void FlowRegistry::endAwaitingResponse(FlowRecord& record)
{
    if (!record.awaitsFirstResponse)
        return;
    record.awaitsFirstResponse = 0;
    --runtimes_[record.server()].awaitingFirstResponse;
}

void FlowRegistry::acquireSlot(FlowRecord& record, TimePoint now)
{
    if (record.holdsSlot)
        return;
    record.holdsSlot = 1;
    record.slotAcquiredAt = clock(now);
    ++runtimes_[record.server()].localUsage.slots;
}

void FlowRegistry::releaseSlot(FlowRecord& record)
{
    if (!record.holdsSlot)
        return;
    record.holdsSlot = 0;
    --runtimes_[record.server()].localUsage.slots;
}

void FlowRegistry::evictExcessHalfOpen()
{
    while (halfOpen_.size() > halfOpenLimit_) {
        auto* record = table_.find(halfOpen_.front());
        halfOpen_.pop_front();
        if (!record || !isHalfOpenTcp(*record))
            continue;
        ++statistics_.halfOpenEvicted;
        erase(*record);
    }
}

bool FlowRegistry::countsAsConnection(const FlowRecord& record)
{
    return !record.isRedirect && (record.flowState() == FlowState::HalfOpen || record.flowState() == FlowState::Open);
}

uint32_t FlowRegistry::clock(TimePoint now)
{
    return static_cast<uint32_t>(std::chrono::floor<Base::milliseconds>(now.time_since_epoch()).count());
}

Base::milliseconds FlowRegistry::idleTime(const FlowRecord& record, TimePoint now)
{
    return Base::milliseconds { clock(now) - record.lastSeen };
}

Base::milliseconds FlowRegistry::age(const FlowRecord& record, TimePoint now)
{
    return Base::milliseconds { clock(now) - record.startedAt };
}

Base::milliseconds FlowRegistry::slotTime(const FlowRecord& record, TimePoint now)
{
    return Base::milliseconds { clock(now) - record.slotAcquiredAt };
}

}
