#pragma once

#include <LibFlow/Types.h>
#include <deque>
#include <unordered_map>

namespace Flow {

/// Flows for which this balancer reported "no record" to another balancer, although it would have decided on their
/// first packets itself. First packets of such a flow go to that balancer, so that a duplicate cannot open the flow a
/// second time. Bounded; the oldest entry is evicted first.
class DelegatedFlows {
public:
    /// Records that the decision on a flow was left to another balancer.
    void add(TimePoint now, const Packet::FlowKey&, EntryVmId receiver);
    /// Returns the balancer that decides on a flow; invalid if there is no entry.
    EntryVmId find(TimePoint now, const Packet::FlowKey&) const;

private:
    struct Entry {
        EntryVmId receiver;
        TimePoint until {};
    };

    static constexpr std::size_t maximumEntries = 16384;
    static constexpr Base::seconds entryTimeout { 10 };

    std::unordered_map<Packet::FlowKey, Entry> entries_;
    std::deque<Packet::FlowKey> order_;
};

}
