#pragma once

#include <LibFlow/Process/LimitShare.h>
#include <LibFlow/Process/ServerHealth.h>
#include <LibFlow/Process/WarmUp.h>
#include <unordered_map>

namespace Flow {

/// Run-time state of one backend server at this balancer.
struct BackendServerRuntime {
    /// A balancer that is neither owner nor backup sends holding reports to the owner until this long after its last
    /// flow.
    static constexpr Base::seconds holdingReportTimeout { 5 };

    /// Usage by flows with a local record.
    Usage localUsage;
    /// Local flows whose first request has not been answered yet.
    uint32_t awaitingFirstResponse { 0 };
    /// Payload packets queued here for a slot.
    uint32_t waitingForSlot { 0 };
    LimitShare share;
    WarmUp warmUp;
    ServerHealth health;
    /// When this balancer last had a local flow of the server; updated with each holding report.
    TimePoint lastHeldAt { TimePoint::min() };
    /// When this balancer became the owner without records of the existing flows (it had no role before, or the former
    /// owner is still a member): other balancers may still hold flows.
    TimePoint ownedWithoutHistorySince { TimePoint::min() };
    /// The previous owner, if it is known and still a member.
    EntryVmId formerOwner;
    /// When this balancer replaced a failed owner, some of whose flows may be unknown here.
    TimePoint tookOverAt { TimePoint::min() };
};

/// The backend servers that this balancer owns, backs up or holds flows of. References stay valid when entries are
/// added.
using BackendServerRuntimes = std::unordered_map<BackendServerId, BackendServerRuntime>;

}
