#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibControl/Message.h>
#include <LibControl/Version/ChangeLog.h>
#include <string>
#include <vector>

namespace Control {

/// The snapshot that this node provides to other nodes, in compressed parts. All nodes provide snapshots of the same
/// revisions (multiples of an interval), so that a receiver can fetch parts of one snapshot from several peers and
/// resume an interrupted transfer. The changes since then come from the change log.
class SnapshotSource {
public:
    /// Replaces the provided snapshot at every revision that is a multiple of the interval, and when the change log no
    /// longer contains all changes since it.
    void update(const ChangeLog&);
    /// Creates the response to a request. The part is empty if the requested snapshot is not available.
    SnapshotPart makePart(const SnapshotRequest&);
    /// The revision of the provided snapshot; zero if there is none.
    Revision revision() const { return snapshot_ ? snapshot_->revision : Revision {}; }

private:
    void encodeParts();

    Configuration::SnapshotPointer snapshot_;
    std::vector<std::string> parts_;
};

/// Target size of a snapshot part before compression, in bytes.
constexpr std::size_t snapshotPartBytes = 16'000;

/// Joins compressed parts, in order, into a snapshot. Returns Malformed or TooLarge for invalid parts.
Base::ErrorOr<Configuration::SnapshotPointer> joinSnapshotParts(const std::vector<std::string>& compressedParts);

}
