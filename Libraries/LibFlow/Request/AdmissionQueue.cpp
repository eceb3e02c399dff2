#include <LibBase/Verify.h>
#include <LibFlow/Request/AdmissionQueue.h>
#include <tuple>

namespace Flow {

bool AdmissionQueue::Order::operator()(const Entry& left, const Entry& right) const
{
    return std::tie(left.priority, right.weight, left.deadline, left.key)
        < std::tie(right.priority, left.weight, right.deadline, right.key);
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::push(const Entry& entry)
{
    VERIFY(!byKey_.contains(entry.key));
    auto position = subqueues_[subqueueIdOf(entry)].insert(entry).first;
    byKey_.emplace(entry.key, position);
    byDeadline_.emplace(entry.deadline, entry.key);
    if (byKey_.size() <= capacity_)
        return std::nullopt;
    const Entry* least = nullptr;
    for (const auto& [id, subqueue] : subqueues_) {
        if (!least || Order {}(*least, *subqueue.rbegin()))
            least = &*subqueue.rbegin();
    }
    return remove(Packet::FlowKey { least->key });
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::remove(const Packet::FlowKey& key)
{
    auto found = byKey_.find(key);
    if (found == byKey_.end())
        return std::nullopt;
    Entry entry = *found->second;
    auto subqueue = subqueues_.find(subqueueIdOf(entry));
    subqueue->second.erase(found->second);
    if (subqueue->second.empty())
        subqueues_.erase(subqueue);
    byDeadline_.erase({ entry.deadline, entry.key });
    byKey_.erase(found);
    return entry;
}

std::vector<AdmissionQueue::Entry> AdmissionQueue::front(const SubqueueId& id, std::size_t count) const
{
    std::vector<Entry> entries;
    auto subqueue = subqueues_.find(id);
    if (subqueue == subqueues_.end())
        return entries;
    for (auto entry = subqueue->second.begin(); entry != subqueue->second.end() && entries.size() < count; ++entry)
        entries.push_back(*entry);
    return entries;
}

std::vector<AdmissionQueue::SubqueueId> AdmissionQueue::subqueues() const
{
    std::vector<SubqueueId> ids;
    ids.reserve(subqueues_.size());
    for (const auto& [id, subqueue] : subqueues_)
        ids.push_back(id);
    return ids;
}

std::size_t AdmissionQueue::waitingCount(ServiceId service, BackendServerId server) const
{
    auto subqueue = subqueues_.find({ .backendServer = server, .service = service });
    return subqueue == subqueues_.end() ? 0 : subqueue->second.size();
}

std::vector<AdmissionQueue::Entry> AdmissionQueue::removeExpired(TimePoint now)
{
    std::vector<Entry> expired;
    while (!byDeadline_.empty() && byDeadline_.begin()->first <= now) {
        auto entry = remove(Packet::FlowKey { byDeadline_.begin()->second });
        if (entry)
            expired.push_back(*entry);
    }
    return expired;
}

}
