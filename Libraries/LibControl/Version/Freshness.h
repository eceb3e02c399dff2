#pragma once

#include <LibControl/ControlNode.h>
#include <LibControl/Message.h>
#include <optional>

namespace Control {

/// Tracks when the configuration in force was last known to be current: when the store last confirmed it, directly or
/// through a chain of peers, and when a peer last had the same revision in force.
class Freshness {
public:
    /// Records that the store confirmed to this node that no revision newer than this one exists.
    void recordStoreConfirmation(Base::TimePoint now, Revision);
    /// Evaluates a peer's header. ownRevision: the revision in force on this node.
    void recordPeerHeader(Base::TimePoint now, const MessageHeader&, Revision ownRevision);
    /// Records that a revision received from a peer or from the store has been put in force.
    void recordAdoption(Base::TimePoint now, Revision, bool fromStore);
    /// The evidence for the revision in force.
    Evidence evidence(Base::TimePoint now, Revision ownRevision) const;
    /// Time since the store's last confirmation, or since the revision was adopted if there is none yet.
    Base::nanoseconds age(Base::TimePoint now) const;
    /// Writes the newest confirmation into a header.
    void fillHeader(Base::TimePoint now, MessageHeader&) const;

private:
    std::optional<Base::TimePoint> storeReadAt_;
    std::optional<Base::TimePoint> confirmedAt_;
    std::optional<Base::TimePoint> peerAgreedAt_;
    Base::TimePoint adoptedAt_ {};
    Revision confirmed_;
};

}
