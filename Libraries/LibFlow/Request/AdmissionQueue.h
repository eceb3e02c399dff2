#pragma once

#include <LibConfiguration/Model.h>
#include <LibFlow/Types.h>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Flow {

/// Bounded priority queue, with deadlines, of first packets that wait for capacity and payload packets that wait for a
/// slot.
class AdmissionQueue {
public:
    /// One queued packet; at most one per flow.
    struct Entry {
        Packet::FlowKey key;
        PacketToken token { 0 };
        ServiceId service;
        uint32_t priority { 0 };
        uint32_t weight { 1 };
        TimePoint deadline {};
        /// The backend server whose slot is needed; invalid if any backend server of the service will do.
        BackendServerId backendServer;
        Packet::TcpFlags flags;
        uint16_t payloadLength { 0 };
        uint32_t sequence { 0 };
        /// Number of transfers between balancers before the packet was queued.
        uint8_t hops { 0 };
        EntryVmId origin;
    };

    explicit AdmissionQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Adds an entry. If the queue is full, removes and returns the least important entry, which may be the new one.
    std::optional<Entry> push(const Entry&);
    /// Removes and returns the entry of a flow.
    std::optional<Entry> remove(const Packet::FlowKey&);
    /// Identifies the entries that wait for the same resource: a slot of one backend server, or capacity anywhere in a
    /// service.
    struct SubqueueId {
        /// Invalid means any backend server of the service.
        BackendServerId backendServer;
        ServiceId service;

        auto operator<=>(const SubqueueId&) const = default;
    };

    /// Returns at most `count` entries of a subqueue, most important first.
    std::vector<Entry> front(const SubqueueId&, std::size_t count) const;
    /// Returns the non-empty subqueues; those for one backend server come first.
    std::vector<SubqueueId> subqueues() const;
    /// Returns the number of entries that wait for a slot of a backend server.
    std::size_t waitingCount(ServiceId, BackendServerId) const;
    /// Removes and returns the entries whose deadline has passed.
    std::vector<Entry> removeExpired(TimePoint now);

    std::size_t size() const { return byKey_.size(); }
    bool contains(const Packet::FlowKey& key) const { return byKey_.contains(key); }

private:
    struct Order {
        bool operator()(const Entry&, const Entry&) const;
    };
    using Subqueue = std::set<Entry, Order>;

    std::size_t capacity_;
    static SubqueueId subqueueIdOf(const Entry& entry)
    {
        return { .backendServer = entry.backendServer, .service = entry.service };
    }

    std::map<SubqueueId, Subqueue, std::greater<>> subqueues_;
    std::unordered_map<Packet::FlowKey, Subqueue::iterator> byKey_;
    std::set<std::pair<TimePoint, Packet::FlowKey>> byDeadline_;
};

}
