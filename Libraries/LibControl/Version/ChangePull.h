#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibControl/Message.h>
#include <optional>
#include <vector>

namespace Control {

/// Schedules requests for the changes that this node lacks. Every message names its sender's newest revision. A node
/// that lags waits a short random time, since the push is usually already in transit, and then requests the changes
/// from one peer at a time.
class ChangePull {
public:
    explicit ChangePull(uint64_t seed)
        : random_(seed)
    {
    }

    /// Records that a peer has a newer revision. isEmpty: no configuration is in force on this node yet.
    void recordNewerPeer(Base::TimePoint now, EntryVmId peer, Revision revision, bool isEmpty);
    /// Stops the requests; called when no change is missing.
    void clear();
    /// Returns the peer to send a request to now, if any, and starts its timeout.
    std::optional<EntryVmId> nextPeer(Base::TimePoint now);
    /// Makes the next request due immediately; called after a response, in case more changes are missing.
    void retryNow(Base::TimePoint now);
    /// Removes a peer that no longer stores the changes.
    void removePeer(EntryVmId peer);
    /// The peers with the newest revisions, newest first.
    std::vector<EntryVmId> peers() const;

private:
    struct Peer {
        EntryVmId id;
        Revision revision;
    };

    Base::Random random_;
    std::vector<Peer> peers_;
    std::optional<Base::TimePoint> nextRequestAt_;
};

}
