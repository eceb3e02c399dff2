#include <LibFlow/Request/RetainedPackets.h>
#include <algorithm>

namespace Flow {

bool RetainedPackets::add(const Packet::FlowKey& key, const Entry& entry)
{
    if (entries_.size() >= capacity_)
        return false;
    return entries_.emplace(key, entry).second;
}

RetainedPackets::Entry* RetainedPackets::find(const Packet::FlowKey& key)
{
    auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

std::optional<RetainedPackets::Entry> RetainedPackets::remove(const Packet::FlowKey& key)
{
    auto found = entries_.find(key);
    if (found == entries_.end())
        return std::nullopt;
    Entry entry = found->second;
    entries_.erase(found);
    return entry;
}

std::vector<Packet::FlowKey> RetainedPackets::sentBefore(TimePoint time) const
{
    std::vector<std::pair<TimePoint, Packet::FlowKey>> due;
    for (const auto& [key, entry] : entries_) {
        if (entry.sentAt < time)
            due.emplace_back(entry.sentAt, key);
    }
    std::sort(due.begin(), due.end());
    std::vector<Packet::FlowKey> keys;
    keys.reserve(due.size());
    for (const auto& [sentAt, key] : due)
        keys.push_back(key);
    return keys;
}

}
