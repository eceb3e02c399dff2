#pragma once

#include <LibMirror/Record.h>
#include <deque>
#include <map>
#include <unordered_map>

namespace Mirror {

/// A copy of the store's records whose revision never decreases: a batch that ends before the current revision is
/// ignored. Batches may come from several sources. Not thread-safe.
class Mirror {
public:
    /// Whether apply() would use a batch: it neither ends before the current revision nor leaves a gap.
    bool accepts(const ChangeBatch&) const;
    /// Applies a batch and returns the records that changed something, ordered by revision, including a deletion for
    /// each key missing from a complete batch. A batch that starts after the current revision leaves a gap and is
    /// ignored.
    std::vector<Record> apply(const ChangeBatch&);

    /// Returns the newest state of each key that changed after a revision, up to about maximumBytes, or the complete
    /// state if deletions since that revision are no longer kept.
    ChangeBatch changesAfter(uint64_t revision, std::size_t maximumBytes) const;

    /// Current revision; 0 before the first batch.
    uint64_t revision() const { return revision_; }
    bool isSynchronized() const { return synchronized_; }
    std::size_t size() const { return records_.size(); }

private:
    /// Whether a change of a batch is newer than what is known of its key.
    bool isNews(const Record&, const ChangeBatch&) const;
    void put(const Record&);
    /// Keeps the deletion for peers, also if the key is unknown here.
    void remove(const std::string& key, uint64_t revision);
    std::vector<Record> deletionsForMissingKeys(const ChangeBatch&) const;

    std::unordered_map<std::string, Record> records_;
    std::multimap<uint64_t, std::string> keysByRevision_;
    /// The most recent deletions, oldest first.
    std::deque<Record> deletions_;
    /// deletions_ contains all deletions after this revision.
    uint64_t deletionsCompleteAfter_ { 0 };
    uint64_t revision_ { 0 };
    bool synchronized_ { false };
};

}
