#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibControl/Message.h>
#include <LibControl/Version/ChangeLog.h>
#include <LibControl/Version/PushTree.h>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Control {

/// Pushes changes to the members of this node's failure domain along a dissemination tree that differs for each push
/// (see chooseDelegates). Anti-entropy delivers what a push misses. Watchers also push an empty heartbeat, whose
/// headers announce the watchers and the store's last confirmation of the configuration to all members.
class ChangePusher {
public:
    struct Hooks {
        /// The failure domain's live members, including this node.
        std::function<const std::vector<EntryVmId>&()> members;
        /// Whether a member may forward a push.
        std::function<bool(EntryVmId)> isUsable;
        std::function<bool(EntryVmId to, MessageBody)> send;
    };

    /// Number of children of each node of the tree.
    static constexpr uint32_t fanOut = 2;

    ChangePusher(EntryVmId self, Hooks);

    /// Schedules a push of the changes after `base` at the time `due`. The push is cancelled if these changes are
    /// forwarded or pushed before.
    void schedule(Base::TimePoint due, Revision base, Revision newest);
    /// Starts a push that is due. watcher: the slot on whose behalf it is sent; epoch zero for none.
    void tick(Base::TimePoint now, const ChangeLog&, const WatcherAnnouncement& watcher);
    /// Forwards a push, once for each revision. last: the last revision it contains.
    void forward(const ChangePush&, Revision last);

private:
    struct Scheduled {
        Base::TimePoint due;
        Revision base;
        Revision newest;
    };

    void startPush(std::vector<std::string> changes, uint64_t seed, const WatcherAnnouncement&);
    void sendToDelegates(const ChangePush&);
    void recordForwarded(Revision last, const RingRange&);
    /// Whether a delegate has returned a part of this node's own range to it because their views differ.
    static bool isReturnedSubrange(const RingRange&, const RingRange& handled);

    EntryVmId self_;
    Hooks hooks_;
    std::optional<Scheduled> scheduled_;
    Revision newestForwarded_;
    /// The last revisions of recently forwarded pushes, with the range that was handled.
    std::map<Revision, RingRange> forwardedRanges_;
    Base::TimePoint nextHeartbeatAt_ {};
    Base::TimePoint nextPushAt_ {};
};

}
