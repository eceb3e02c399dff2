#pragma once

/// Records of the platform's store as sent to each entry VM, directly or through a peer: by key, in the order of the
/// store's revisions.

#include <LibBase/StorePosition.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Mirror {

/// The state of one key at one revision of the store.
struct Record {
    std::string key;
    /// The revision that wrote or deleted the key.
    uint64_t revision { 0 };
    /// Not interpreted; empty for a deletion.
    std::string value;
    bool isDeletion { false };

    bool operator==(const Record&) const = default;
};

/// Changes ordered by revision.
struct ChangeBatch {
    /// The store's era in which all revisions of the batch were given out.
    uint64_t era { 0 };
    /// The batch contains the newest state of every key that changed after this revision, up to upTo.
    uint64_t after { 0 };
    /// The last revision that the batch covers.
    uint64_t upTo { 0 };
    /// Whether the batch is the complete state, so that keys missing from it do not exist.
    bool isComplete { false };
    /// Whether changes after upTo follow in another batch; used between peers only.
    bool hasMore { false };
    std::vector<Record> records;

    /// The point in the store's history at which the batch ends.
    Base::StorePosition end() const { return { .era = era, .revision = upTo }; }
};

}
