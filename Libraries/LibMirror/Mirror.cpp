#include <LibMirror/Mirror.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace Mirror {

namespace {

    /// Number of deletions kept for peers at older revisions. 3,100 restarts and 5,900 changes per day are about six
    /// per minute, so this covers hours; a peer further behind receives the complete state.
    constexpr std::size_t retainedDeletionsLimit = 4096;

}

void Mirror::remove(const std::string& key, uint64_t revision)
{
    if (const auto found = records_.find(key); found != records_.end()) {
        const auto [first, last] = keysByRevision_.equal_range(found->second.revision);
        keysByRevision_.erase(std::find_if(first, last, [&](const auto& entry) { return entry.second == key; }));
        records_.erase(found);
    }
    deletions_.push_back({ .key = key, .revision = revision, .value = {}, .isDeletion = true });
    if (deletions_.size() <= retainedDeletionsLimit)
        return;
    // Deletions older than a complete batch may be kept still.
    deletionsCompleteAfter_ = std::max(deletionsCompleteAfter_, deletions_.front().revision);
    deletions_.pop_front();
}

void Mirror::put(const Record& record)
{
    if (const auto found = records_.find(record.key); found != records_.end()) {
        const auto [first, last] = keysByRevision_.equal_range(found->second.revision);
        keysByRevision_.erase(std::find_if(first, last, [&](const auto& entry) { return entry.second == record.key; }));
    }
    records_[record.key] = record;
    keysByRevision_.emplace(record.revision, record.key);
}

std::vector<Record> Mirror::deletionsForMissingKeys(const ChangeBatch& batch) const
{
    std::unordered_set<std::string_view> present;
    for (const auto& record : batch.records)
        present.insert(record.key);
    std::vector<Record> missing;
    for (const auto& [key, record] : records_) {
        if (!present.contains(key) && record.revision <= batch.upTo)
            missing.push_back({ .key = key, .revision = batch.upTo, .value = {}, .isDeletion = true });
    }
    return missing;
}

bool Mirror::isNews(const Record& record, const ChangeBatch& batch) const
{
    if (const auto found = records_.find(record.key); found != records_.end())
        return record.revision > found->second.revision;
    if (record.revision > revision_)
        return true;
    // A peer that missed the deletion may still have the key.
    const bool isKnownDeleted = std::ranges::any_of(deletions_,
        [&](const Record& deletion) { return deletion.key == record.key && deletion.revision >= record.revision; });
    return batch.isComplete && !record.isDeletion && !isKnownDeleted;
}

bool Mirror::accepts(const ChangeBatch& batch) const
{
    if (batch.isComplete)
        return batch.end() >= position();
    return batch.era == era_ && batch.upTo >= revision_ && batch.after <= revision_;
}

std::vector<Record> Mirror::replaceAll(const ChangeBatch& batch)
{
    const auto previous = std::exchange(records_, {});
    keysByRevision_.clear();
    deletions_.clear();
    std::vector<Record> effective;
    for (const auto& record : batch.records) {
        put(record);
        const auto known = previous.find(record.key);
        if (known == previous.end() || known->second.value != record.value)
            effective.push_back(record);
    }
    for (const auto& [key, record] : previous) {
        if (!records_.contains(key))
            effective.push_back({ .key = key, .revision = batch.upTo, .value = {}, .isDeletion = true });
    }
    std::ranges::stable_sort(effective, {}, &Record::revision);
    era_ = batch.era;
    revision_ = batch.upTo;
    deletionsCompleteAfter_ = batch.upTo;
    return effective;
}

std::vector<Record> Mirror::apply(const ChangeBatch& batch)
{
    if (!accepts(batch))
        return {};
    if (synchronized_ && batch.era > era_)
        return replaceAll(batch);
    auto changes = batch.records;
    if (batch.isComplete)
        std::ranges::move(deletionsForMissingKeys(batch), std::back_inserter(changes));
    std::ranges::stable_sort(changes, {}, &Record::revision);
    // Each change is judged by the state that the one before left: a key may be written and deleted in one batch.
    std::vector<Record> effective;
    for (auto& record : changes) {
        if (!isNews(record, batch))
            continue;
        const bool isKnown = records_.contains(record.key);
        if (record.isDeletion)
            remove(record.key, record.revision);
        else
            put(record);
        if (isKnown || !record.isDeletion)
            effective.push_back(std::move(record));
    }
    // A complete batch does not tell which other keys were written and deleted since the last one.
    if (batch.isComplete && (!synchronized_ || batch.upTo > revision_))
        deletionsCompleteAfter_ = batch.upTo;
    synchronized_ |= batch.isComplete;
    era_ = batch.era;
    revision_ = std::max(revision_, batch.upTo);
    return effective;
}

ChangeBatch Mirror::changesAfter(Base::StorePosition position, std::size_t maximumBytes) const
{
    ChangeBatch batch { .era = era_, .after = position.revision, .upTo = revision_ };
    if (position.era != era_ || position.revision < deletionsCompleteAfter_) {
        batch.after = 0;
        batch.isComplete = true;
    }
    const auto isNewDeletion
        = [&](const Record& record) { return record.revision > batch.after && !records_.contains(record.key); };
    if (!batch.isComplete)
        std::ranges::copy_if(deletions_, std::back_inserter(batch.records), isNewDeletion);
    std::size_t bytes = 0;
    uint64_t lastRevision = 0;
    for (auto entry = keysByRevision_.upper_bound(batch.after); entry != keysByRevision_.end(); ++entry) {
        // Records of one revision must stay in one batch; otherwise the peer would skip those of the next batch.
        const bool maySplit = !batch.isComplete && entry->first != lastRevision;
        if (bytes > maximumBytes && maySplit) {
            batch.hasMore = true;
            batch.upTo = lastRevision;
            break;
        }
        const auto& record = records_.at(entry->second);
        bytes += record.key.size() + record.value.size();
        lastRevision = entry->first;
        batch.records.push_back(record);
    }
    if (batch.hasMore)
        std::erase_if(batch.records, [&](const Record& record) { return record.revision > batch.upTo; });
    std::ranges::stable_sort(batch.records, {}, &Record::revision);
    return batch;
}

}
