#pragma once

#include <LibFlow/Types.h>
#include <optional>
#include <unordered_map>

namespace Flow {

/// First packets of which the host keeps copies, so that they can be sent to another backend server if the first one
/// refuses or does not respond. Bounded.
class RetainedPackets {
public:
    struct Entry {
        PacketToken token { 0 };
        BackendServerId sentTo;
        TimePoint sentAt {};
        /// When the caller times out.
        TimePoint deadline {};
        uint32_t retries { 0 };
    };

    explicit RetainedPackets(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Adds the first packet of a flow. Returns false if the flow already has one or the capacity is reached.
    bool add(const Packet::FlowKey&, const Entry&);
    /// Returns the entry of a flow, or nullptr.
    Entry* find(const Packet::FlowKey&);
    /// Removes and returns the entry of a flow.
    std::optional<Entry> remove(const Packet::FlowKey&);
    /// Returns the flows whose packets were sent before the given time, oldest first.
    std::vector<Packet::FlowKey> sentBefore(TimePoint) const;
    std::size_t size() const { return entries_.size(); }

private:
    std::size_t capacity_;
    std::unordered_map<Packet::FlowKey, Entry> entries_;
};

}
