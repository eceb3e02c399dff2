#pragma once

#include <LibBase/Time.h>
#include <LibBase/Verify.h>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Overload {

/// Bounded priority queue, with deadlines, of packets that wait for room. The entry type has the fields `key` (at most
/// one entry for each), `priority` (smaller ones first), `weight` (larger ones first) and `deadline`, and the function
/// `subqueueId()`: entries with the same id wait for the same resource.
template <typename QueueEntry>
class AdmissionQueue {
public:
    using Entry = QueueEntry;
    using Key = decltype(Entry::key);
    using SubqueueId = typename Entry::SubqueueId;

    explicit AdmissionQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Adds an entry. If the queue is full, removes and returns the least important entry, which may be the new one.
    std::optional<Entry> push(const Entry& entry)
    {
        VERIFY(!byKey_.contains(entry.key));
        auto position = subqueues_[entry.subqueueId()].insert(entry).first;
        byKey_.emplace(entry.key, position);
        byDeadline_.emplace(entry.deadline, entry.key);
        if (byKey_.size() <= capacity_)
            return std::nullopt;
        const Entry* least = nullptr;
        for (const auto& [id, subqueue] : subqueues_) {
            if (!least || Order {}(*least, *subqueue.rbegin()))
                least = &*subqueue.rbegin();
        }
        return remove(Key { least->key });
    }

    /// Removes and returns the entry with this key.
    std::optional<Entry> remove(const Key& key)
    {
        auto found = byKey_.find(key);
        if (found == byKey_.end())
            return std::nullopt;
        Entry entry = *found->second;
        auto subqueue = subqueues_.find(entry.subqueueId());
        subqueue->second.erase(found->second);
        if (subqueue->second.empty())
            subqueues_.erase(subqueue);
        byDeadline_.erase({ entry.deadline, entry.key });
        byKey_.erase(found);
        return entry;
    }

    /// Returns at most `count` entries of a subqueue, most important first.
    std::vector<Entry> front(const SubqueueId& id, std::size_t count) const
    {
        std::vector<Entry> entries;
        auto subqueue = subqueues_.find(id);
        if (subqueue == subqueues_.end())
            return entries;
        for (auto entry = subqueue->second.begin(); entry != subqueue->second.end() && entries.size() < count; ++entry)
            entries.push_back(*entry);
        return entries;
    }

    /// Returns the ids of the non-empty subqueues, the largest first.
    std::vector<SubqueueId> subqueues() const
    {
        std::vector<SubqueueId> ids;
        ids.reserve(subqueues_.size());
        for (const auto& [id, subqueue] : subqueues_)
            ids.push_back(id);
        return ids;
    }

    /// Returns the number of entries of a subqueue.
    std::size_t waitingCount(const SubqueueId& id) const
    {
        auto subqueue = subqueues_.find(id);
        return subqueue == subqueues_.end() ? 0 : subqueue->second.size();
    }

    /// Removes and returns the entries whose deadline has passed.
    std::vector<Entry> removeExpired(Base::TimePoint now)
    {
        std::vector<Entry> expired;
        while (!byDeadline_.empty() && byDeadline_.begin()->first <= now) {
            if (auto entry = remove(Key { byDeadline_.begin()->second }))
                expired.push_back(*entry);
        }
        return expired;
    }

    /// The earliest deadline, or TimePoint::max() if the queue is empty.
    Base::TimePoint nextDeadline() const
    {
        return byDeadline_.empty() ? Base::TimePoint::max() : byDeadline_.begin()->first;
    }

    std::size_t size() const { return byKey_.size(); }
    bool contains(const Key& key) const { return byKey_.contains(key); }

private:
    struct Order {
        bool operator()(const Entry& left, const Entry& right) const
        {
            return std::tie(left.priority, right.weight, left.deadline, left.key)
                < std::tie(right.priority, left.weight, right.deadline, right.key);
        }
    };
    using Subqueue = std::set<Entry, Order>;

    std::size_t capacity_;
    std::map<SubqueueId, Subqueue, std::greater<>> subqueues_;
    std::unordered_map<Key, typename Subqueue::iterator> byKey_;
    std::set<std::pair<Base::TimePoint, Key>> byDeadline_;
};

}
