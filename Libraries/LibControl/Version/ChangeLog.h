#pragma once

#include <LibBase/Error.h>
#include <LibConfiguration/Change.h>
#include <LibConfiguration/Snapshot.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Control {

using Base::Revision;

/// Creates the snapshot that results from a change. The default is Configuration::apply; a host with many nodes in one
/// process may share the results between them.
using ChangeApplier = std::function<Base::ErrorOr<Configuration::SnapshotPointer>(
    const Configuration::SnapshotPointer&, const Configuration::Change&)>;

/// Applies the accepted changes in order to the newest snapshot. Never reverts: a change or snapshot that is not newer
/// than the one in force does not change the state.
class ChangeLog {
public:
    /// The result of applying a change.
    enum class Result : uint8_t {
        Applied,
        /// The change is already in force.
        AlreadyApplied,
        /// The change is buffered until its predecessors have arrived.
        Gap,
        /// A different change is in force under the same revision.
        Conflicts,
    };

    explicit ChangeLog(ChangeApplier);

    /// Applies an encoded change and the buffered ones that follow it. Returns Malformed, or the error of the applier;
    /// the state is then unchanged.
    Base::ErrorOr<Result> applyEncoded(const std::string& encoded);
    /// Installs a complete snapshot. Returns false if it is not newer.
    bool installSnapshot(Configuration::SnapshotPointer);
    /// The snapshot in force; nullptr if there is none yet.
    const Configuration::SnapshotPointer& snapshot() const { return snapshot_; }
    /// The newest revision in force; zero if none.
    Revision newest() const { return snapshot_ ? snapshot_->revision : Revision {}; }
    /// Records that a revision exists.
    void recordKnownRevision(Revision revision) { newestKnown_ = std::max(newestKnown_, revision); }
    /// The newest revision known to exist.
    Revision newestKnown() const { return std::max(newestKnown_, newest()); }
    /// The encoded changes after a revision, up to about maximumBytes; nullopt if they are no longer stored.
    std::optional<std::vector<std::string>> changesAfter(Revision, std::size_t maximumBytes) const;
    /// A recent change in its encoded form; nullptr if it is not stored.
    const std::string* find(Revision) const;

private:
    Base::ErrorOr<void> applyNext(const Configuration::Change&, const std::string& encoded);
    Base::ErrorOr<void> applyPending();
    void appendRecent(std::string encoded);

    ChangeApplier applier_;
    Configuration::SnapshotPointer snapshot_;
    Revision newestKnown_;
    /// The newest changes; the last one is that of the snapshot's revision.
    std::deque<std::string> recent_;
    std::size_t recentBytes_ { 0 };
    std::map<Revision, std::string> pending_;
};

}
