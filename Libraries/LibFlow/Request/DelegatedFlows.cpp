#include <LibFlow/Request/DelegatedFlows.h>

namespace Flow {

void DelegatedFlows::add(TimePoint now, const Packet::FlowKey& key, EntryVmId receiver)
{
    auto [entry, isNew] = entries_.insert_or_assign(key, Entry { .receiver = receiver, .until = now + entryTimeout });
    if (isNew)
        order_.push_back(key);
    if (order_.size() <= maximumEntries)
        return;
    entries_.erase(order_.front());
    order_.pop_front();
}

EntryVmId DelegatedFlows::find(TimePoint now, const Packet::FlowKey& key) const
{
    auto entry = entries_.find(key);
    return entry == entries_.end() || entry->second.until <= now ? EntryVmId {} : entry->second.receiver;
}

}
