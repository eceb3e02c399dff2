#include <LibFleet/RecordStore.h>

namespace StandIn {

uint64_t RecordStore::put(const std::string& key, const std::string& value, uint64_t lease)
{
    auto& item = items_[key];
    ++revision_;
    item = { .key = key,
        .value = value,
        .revision = revision_,
        .createdRevision = item.createdRevision != 0 ? item.createdRevision : revision_,
        .lease = lease };
    history_.push_back(item);
    if (onChange_)
        onChange_();
    return revision_;
}

void RecordStore::remove(const std::string& key)
{
    if (items_.erase(key) == 0)
        return;
    history_.push_back({ .key = key, .value = {}, .revision = ++revision_, .isDeletion = true });
    if (onChange_)
        onChange_();
}

const RecordStore::Item* RecordStore::find(const std::string& key) const
{
    const auto found = items_.find(key);
    return found != items_.end() ? &found->second : nullptr;
}

std::vector<RecordStore::Item> RecordStore::range(
    const std::string& prefix, const std::string& after, std::size_t limit, bool& hasMore) const
{
    std::vector<Item> items;
    hasMore = false;
    for (auto entry = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after); entry != items_.end();
         ++entry) {
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
    if (revision < historyStartRevision_)
        return std::nullopt;
    std::vector<Item> changes;
    for (const auto& item : history_) {
        if (item.revision > revision && item.key.starts_with(prefix))
            changes.push_back(item);
    }
    return changes;
}

void RecordStore::dropHistory()
{
    history_.clear();
    historyStartRevision_ = revision_;
}

uint64_t RecordStore::grantLease(Base::TimePoint now, Base::milliseconds lifetime)
{
    leases_[++nextLease_] = { .lifetime = lifetime, .expiresAt = now + lifetime };
    return nextLease_;
}

std::optional<Base::milliseconds> RecordStore::renewLease(Base::TimePoint now, uint64_t lease)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end())
        return std::nullopt;
    found->second.expiresAt = now + found->second.lifetime;
    return found->second.lifetime;
}

void RecordStore::revokeLease(uint64_t lease)
{
    if (leases_.erase(lease) == 0)
        return;
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        remove(key);
}

void RecordStore::expireLeases(Base::TimePoint now)
{
    std::vector<uint64_t> expired;
    for (const auto& [id, lease] : leases_) {
        if (lease.expiresAt <= now)
            expired.push_back(id);
    }
    for (const auto id : expired)
        revokeLease(id);
}

}
