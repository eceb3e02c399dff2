#pragma once

#include <LibFlow/Connection/FlowTable.h>
#include <LibFlow/Process/BackendServerRuntime.h>
#include <LibFlow/Process/FlowStatistics.h>
#include <deque>

namespace Flow {

/// Keeps flow records consistent with the per-server usage counters: every change of a record's state, backend server
/// or slot goes through this class. A record is either local (this balancer serves the flow, which counts towards its
/// backend server's limits) or a redirect (another balancer serves the flow).
class FlowRegistry {
public:
    FlowRegistry(std::size_t maximumFlows, uint64_t seed, BackendServerRuntimes&, FlowStatistics&);

    /// Returns the record of a flow, or nullptr.
    FlowRecord* find(const Packet::FlowKey& key) { return table_.find(key); }
    /// See FlowTable.
    void prefetchIndex(const Packet::FlowKey& key) const { table_.prefetchIndex(key); }
    void prefetchRecord(const Packet::FlowKey& key) const { table_.prefetchRecord(key); }
    /// Adds the record of a queued first packet. Returns nullptr if the table is full.
    FlowRecord* addQueued(TimePoint now, const Packet::FlowKey&);
    /// Adds a redirect to the owner of the given backend server. Returns nullptr if the table is full.
    FlowRecord* addRedirect(TimePoint now, const Packet::FlowKey&, BackendServerId);
    /// Adds a local record and counts its connection. Returns nullptr if the table is full.
    FlowRecord* addLocal(TimePoint now, const Packet::FlowKey&, BackendServerId, FlowState);
    /// Turns a queued or redirect record into a local one, or assigns a local one to another backend server. Counts the
    /// connection.
    void makeLocal(FlowRecord&, TimePoint now, BackendServerId, FlowState);
    /// Turns a local record into a redirect and releases the connection and slot it occupied.
    void makeRedirect(FlowRecord&, TimePoint now, BackendServerId);
    /// Marks a half-open flow as open: the backend server has responded, or a mid-flow packet was seen.
    void open(FlowRecord&);
    /// Marks a flow as ended and releases its connection and slot; the record stays for late packets.
    void close(FlowRecord&, TimePoint now);
    /// Removes a record and releases its connection and slot.
    void erase(FlowRecord&);

    /// Counts the flow as waiting for the response to its first request.
    void awaitFirstResponse(FlowRecord&);
    /// The first request was answered, or will not be: stops counting the flow as waiting.
    void endAwaitingResponse(FlowRecord&);
    /// Counts one of the backend server's slots as occupied by the flow.
    void acquireSlot(FlowRecord&, TimePoint now);
    /// Releases the flow's slot.
    void releaseSlot(FlowRecord&);

    /// Restarts the idle time.
    static void touch(FlowRecord& record, TimePoint now) { record.lastSeen = clock(now); }
    /// Time since the flow's last packet.
    static Base::milliseconds idleTime(const FlowRecord&, TimePoint now);
    /// Restarts the age.
    static void restartAge(FlowRecord& record, TimePoint now) { record.startedAt = clock(now); }
    /// Time since the record was created, changed its backend server or kind, or had its age restarted.
    static Base::milliseconds age(const FlowRecord&, TimePoint now);
    /// Time since the slot was acquired.
    static Base::milliseconds slotTime(const FlowRecord&, TimePoint now);

    /// See FlowTable.
    void sweep(std::size_t count, const std::function<void(FlowRecord&)>& visit) { table_.sweep(count, visit); }
    std::size_t allocatedRecords() const { return table_.allocatedRecords(); }
    std::size_t memoryBytes() const { return table_.memoryBytes(); }
    bool isFull() const { return table_.size() >= table_.capacity(); }

private:
    static uint32_t clock(TimePoint);
    static bool countsAsConnection(const FlowRecord&);
    FlowRecord* add(TimePoint now, const Packet::FlowKey&);
    void assignServer(FlowRecord&, TimePoint now, BackendServerId, FlowState);
    void releaseUsage(FlowRecord&);
    void evictExcessHalfOpen();

    FlowTable table_;
    std::size_t halfOpenLimit_;
    BackendServerRuntimes& runtimes_;
    FlowStatistics& statistics_;
    /// Half-open TCP flows in the order of their first packets; entries of flows that are no longer half-open are
    /// skipped.
    std::deque<Packet::FlowKey> halfOpen_;
};

}
