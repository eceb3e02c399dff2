#pragma once

#include <LibControl/Message.h>
#include <cstdint>
#include <functional>
#include <vector>

namespace Control {

/// A member that forwards a push within a part of the ring.
struct PushDelegate {
    EntryVmId to;
    RingRange range;
};

/// A member's position on a ring.
uint64_t ringPosition(const RingRange&, EntryVmId);

/// The whole ring except its root.
RingRange wholeRing(uint64_t seed, EntryVmId root);

/// Computes the children of one node of a dissemination tree: divides the range into up to `fanOut` parts and selects a
/// delegate for each. The parts cover everything that follows this node, so that members known only to a delegate are
/// reached too, and nodes whose views differ need not agree on a tree. A new seed for each push places different
/// members near the root.
///
/// members: the failure domain's live members, including this node. isUsable: whether a member may be a delegate.
std::vector<PushDelegate> chooseDelegates(EntryVmId self, const std::vector<EntryVmId>& members, const RingRange&,
    uint32_t fanOut, const std::function<bool(EntryVmId)>& isUsable);

}
