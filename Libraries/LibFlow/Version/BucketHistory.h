#pragma once

#include <LibBase/Time.h>
#include <LibFlow/Version/BucketTable.h>
#include <deque>
#include <optional>

namespace Flow {

using Base::TimePoint;

/// The current bucket table of a service and the last few before it, used to find flows that were opened before a table
/// change.
class BucketHistory {
public:
    /// The last change of a bucket's backend server.
    struct Move {
        BackendServerId from;
        /// When this balancer applied the change.
        TimePoint at {};
    };

    /// Makes a table the current one, unless it is equal to it.
    void push(TimePoint now, BucketTable);

    const BucketTable& current() const { return current_; }
    /// Returns the last change of the bucket of a flow, if it is within the stored tables.
    std::optional<Move> lastMove(uint64_t flowHash) const;
    /// Memory used by the tables, in bytes.
    std::size_t memoryBytes() const;

private:
    struct PreviousTable {
        BucketTable table;
        TimePoint replacedAt {};
    };

    static constexpr std::size_t previousTableLimit = 4;

    BucketTable current_;
    /// Sorted from newest to oldest.
    std::deque<PreviousTable> previousTables_;
};

}
