#pragma once

#include <LibMirror/Record.h>
#include <deque>
#include <map>
#include <unordered_map>

namespace Mirror {

/// A copy of the store's records whose position never decreases: a batch that ends before the current position is
/// ignored. Batches may come from several sources. Not thread-safe.
class Mirror {
public:
    /// Whether apply() would use a batch: it neither ends before the current position nor leaves a gap.
    bool accepts(const ChangeBatch&) const;
    /// Applies a batch and returns the records that changed something, ordered by revision, including a deletion for
    /// each key missing from a complete batch. A batch that starts after the current position leaves a gap and is
    /// ignored, and so is one of a new era that is not complete.
    std::vector<Record> apply(const ChangeBatch&);

    /// Returns the newest state of each key that changed after a position, up to about maximumBytes, or the complete
    /// state if the position is of another era or deletions since then are no longer kept.
    ChangeBatch changesAfter(Base::StorePosition, std::size_t maximumBytes) const;

    /// Current position; zero before the first batch.
    Base::StorePosition position() const { return { .era = era_, .revision = revision_ }; }
    bool isSynchronized() const { return synchronized_; }
    std::size_t size() const { return records_.size(); }

private:
    /// Whether a change of a batch is newer than what is known of its key.
    bool isNews(const Record&, const ChangeBatch&) const;
    void put(const Record&);
    /// Keeps the deletion for peers, also if the key is unknown here.
    void remove(const std::string& key, uint64_t revision);
    std::vector<Record> deletionsForMissingKeys(const ChangeBatch&) const;
    /// Replaces all records by those of a new era. Revisions of both eras do not compare, so that values decide whether
    /// a record has changed.
    std::vector<Record> replaceAll(const ChangeBatch&);

    std::unordered_map<std::string, Record> records_;
    std::multimap<uint64_t, std::string> keysByRevision_;
    /// The most recent deletions, oldest first.
    std::deque<Record> deletions_;
    /// deletions_ contains all deletions after this revision.
    uint64_t deletionsCompleteAfter_ { 0 };
    uint64_t era_ { 0 };
    uint64_t revision_ { 0 };
    bool synchronized_ { false };
};

}
