#pragma once

/// What travels from the platform's store to each entry VM, directly or through a peer: records by key, in the order of
/// the store's revisions.

#include <cstdint>
#include <string>
#include <vector>

namespace Mirror {

/// One key's state as of one revision of the store.
struct Record {
    std::string key;
    /// The revision that wrote or deleted the key.
    uint64_t revision { 0 };
    /// Opaque bytes; empty for a deletion.
    std::string value;
    bool isDeletion { false };

    bool operator==(const Record&) const = default;
};

/// Changes in the order of their revisions.
struct ChangeBatch {
    /// The batch holds the newest state of every key that changed after this revision.
    uint64_t after { 0 };
    /// The batch reaches up to this revision.
    uint64_t upTo { 0 };
    /// Whether the batch is the whole state: keys that it does not name do not exist.
    bool isComplete { false };
    /// Whether more follows after upTo; only between peers.
    bool hasMore { false };
    std::vector<Record> records;
};

}
