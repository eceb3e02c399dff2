#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibControl/ControlNode.h>
#include <LibControl/Message.h>
#include <LibControl/Process/Outbox.h>
#include <LibControl/Version/ChangeLog.h>
#include <LibControl/Version/ChangePull.h>
#include <LibControl/Version/ChangePusher.h>
#include <LibControl/Version/Freshness.h>
#include <LibControl/Version/SnapshotFetch.h>
#include <LibControl/Version/SnapshotSource.h>
#include <functional>

namespace Control {

/// Receives and forwards accepted changes: pushes along a tree, pulls from peers that have newer revisions, and
/// complete snapshots for nodes that lag far behind. Owns the configuration in force. Not thread-safe.
class Propagation {
public:
    struct Hooks {
        ChangePusher::Hooks pushing;
        std::function<bool(EntryVmId)> isInOwnDomain;
        /// Called when a newer revision is in force.
        std::function<void(Base::TimePoint)> onEnforced;
    };

    Propagation(const ControlNode::Options&, Hooks, Outbox&, ControlStatistics&);

    /// watcher: the slot held by this node; epoch zero for none.
    void tick(Base::TimePoint now, const WatcherAnnouncement& watcher);
    /// Evaluates a peer's header for newer revisions.
    void handleHeader(Base::TimePoint now, EntryVmId sender, const MessageHeader&);
    /// Returns Malformed if the message contains an invalid change.
    Base::ErrorOr<void> handleChangePush(Base::TimePoint now, EntryVmId sender, const ChangePush&);
    void handleChangesRequest(EntryVmId sender, const ChangesRequest&);
    Base::ErrorOr<void> handleChanges(Base::TimePoint now, EntryVmId sender, const Changes&);
    void handleSnapshotRequest(EntryVmId sender, const SnapshotRequest&);
    void handleSnapshotPart(Base::TimePoint now, EntryVmId sender, SnapshotPart);
    /// Handles a change read from the store. slot: the watcher slot of this node, which determines the delay of its
    /// push. Returns whether the change, or a newer one, is now in force.
    bool handleStoreChange(Base::TimePoint now, const std::string& encoded, uint32_t slot);
    /// Handles a snapshot read from the store.
    void handleStoreSnapshot(Base::TimePoint now, Configuration::SnapshotPointer);
    /// Records that the store confirmed that nothing newer exists.
    void handleStoreConfirmation(Base::TimePoint now) { freshness_.recordStoreConfirmation(now, changeLog_.newest()); }

    const ChangeLog& log() const { return changeLog_; }
    Evidence evidence(Base::TimePoint now) const { return freshness_.evidence(now, changeLog_.newest()); }
    Base::nanoseconds evidenceAge(Base::TimePoint now) const { return freshness_.age(now); }
    /// Fills in the configuration parts of a header.
    void fillHeader(Base::TimePoint now, MessageHeader&) const;
    /// Whether a peer with a newer configuration is known.
    bool hasNewerPeers() const { return !pull_.peers().empty(); }

private:
    /// Applies a change and counts the result. Returns Malformed for an invalid change.
    Base::ErrorOr<ChangeLog::Result> applyEncoded(Base::TimePoint now, const std::string& encoded, bool fromStore);
    void reportEnforced(Base::TimePoint now, bool fromStore);
    void startSnapshotFetch();

    EntryVmId self_;
    Hooks hooks_;
    Outbox& outbox_;
    ControlStatistics& statistics_;
    Base::Random random_;
    ChangeLog changeLog_;
    ChangePull pull_;
    Freshness freshness_;
    ChangePusher changePusher_;
    SnapshotSource snapshotSource_;
    SnapshotFetch snapshotFetch_;
};

}
