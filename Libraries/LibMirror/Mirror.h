#pragma once

#include <LibMirror/Record.h>
#include <deque>
#include <map>
#include <unordered_map>

namespace Mirror {

/// A copy of the store's records that only moves forward: a batch that ends before the revision already held changes
/// nothing. Several sources may feed it. One thread at a time.
class Mirror {
public:
    /// Takes over a batch. The records that changed something, in the order of their revisions, with a deletion for
    /// each key that a complete batch does not name. A batch that starts after the revision held has a gap and is
    /// ignored.
    std::vector<Record> apply(const ChangeBatch&);

    /// Everything after a revision, newest state of each key, of at most about maximumBytes. The whole state from the
    /// start when deletions that far back are no longer known.
    ChangeBatch changesAfter(uint64_t revision, std::size_t maximumBytes) const;

    /// The store's revision that is held; 0 until the first batch.
    uint64_t revision() const { return revision_; }
    bool isSynchronized() const { return synchronized_; }
    std::size_t size() const { return records_.size(); }

private:
    void put(const Record&);
    void remove(const std::string& key, uint64_t revision);
    std::vector<Record> deletionsForMissing(const ChangeBatch&) const;

    std::unordered_map<std::string, Record> records_;
    std::multimap<uint64_t, std::string> keysByRevision_;
    /// The newest deletions, oldest first.
    std::deque<Record> deletions_;
    /// Deletions after this revision are all in deletions_.
    uint64_t deletionsKnownAfter_ { 0 };
    uint64_t revision_ { 0 };
    bool synchronized_ { false };
};

}
