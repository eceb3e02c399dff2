#include <LibFleet/RecordStore.h>

namespace StandIn {

uint64_t RecordStore::put(const std::string& key, const std::string& value, uint64_t lease)
{
    auto& item = state_.items[key];
    ++state_.revision;
    item = { .key = key,
        .value = value,
        .revision = state_.revision,
        .createdRevision = item.createdRevision != 0 ? item.createdRevision : state_.revision,
        .lease = lease };
    state_.history.push_back(item);
    if (onChange_)
        onChange_();
    return state_.revision;
}

void RecordStore::remove(const std::string& key)
{
    if (state_.items.erase(key) == 0)
        return;
    state_.history.push_back({ .key = key, .value = {}, .revision = ++state_.revision, .isDeletion = true });
    if (onChange_)
        onChange_();
}

const RecordStore::Item* RecordStore::find(const std::string& key) const
{
    const auto found = state_.items.find(key);
    return found != state_.items.end() ? &found->second : nullptr;
}

std::vector<RecordStore::Item> RecordStore::range(
    const std::string& prefix, const std::string& after, std::size_t limit, bool& hasMore) const
{
    std::vector<Item> items;
    hasMore = false;
    for (auto entry = after.empty() ? state_.items.lower_bound(prefix) : state_.items.upper_bound(after);
         entry != state_.items.end(); ++entry) {
        if (!entry->first.starts_with(prefix))
            break;
        if (items.size() == limit) {
            hasMore = true;
            break;
        }
        items.push_back(entry->second);
    }
    return items;
}

std::optional<std::vector<RecordStore::Item>> RecordStore::changesAfter(
    const std::string& prefix, uint64_t revision) const
{
    if (revision < state_.historyStartRevision || revision > state_.revision)
        return std::nullopt;
    std::vector<Item> changes;
    for (const auto& item : state_.history) {
        if (item.revision > revision && item.key.starts_with(prefix))
            changes.push_back(item);
    }
    return changes;
}

void RecordStore::dropHistory()
{
    state_.history.clear();
    state_.historyStartRevision = state_.revision;
}

void RecordStore::restoreCopy()
{
    state_ = copy_;
    ++era_;
    if (onChange_)
        onChange_();
}

uint64_t RecordStore::grantLease(Base::TimePoint now, Base::milliseconds lifetime)
{
    state_.leases[++state_.nextLease] = { .lifetime = lifetime, .expiresAt = now + lifetime };
    return state_.nextLease;
}

std::optional<Base::milliseconds> RecordStore::renewLease(Base::TimePoint now, uint64_t lease)
{
    const auto found = state_.leases.find(lease);
    if (found == state_.leases.end())
        return std::nullopt;
    found->second.expiresAt = now + found->second.lifetime;
    return found->second.lifetime;
}

void RecordStore::revokeLease(uint64_t lease)
{
    if (state_.leases.erase(lease) == 0)
        return;
    std::vector<std::string> keys;
    for (const auto& [key, item] : state_.items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        remove(key);
}

void RecordStore::expireLeases(Base::TimePoint now)
{
    std::vector<uint64_t> expired;
    for (const auto& [id, lease] : state_.leases) {
        if (lease.expiresAt <= now)
            expired.push_back(id);
    }
    for (const auto id : expired)
        revokeLease(id);
}

}
