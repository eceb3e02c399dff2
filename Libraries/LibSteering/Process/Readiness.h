#pragma once

#include <LibBase/Time.h>
#include <cstdint>

namespace Steering {

/// Decides whether the fabric should send callers here: not before the state from the store is complete, not after a
/// stop was requested, and not while this node reaches no backend server, or most entry VMs of its failure domain do
/// not report, since callers are then better served by another failure domain's entry VMs.
class Readiness {
public:
    /// A configuration and all other records of the store have been received.
    void setStateComplete(Base::TimePoint now);
    void setStopping() { isStopping_ = true; }

    /// A first packet got no response. consecutiveTimeouts: such packets in a row, over all backend servers.
    void recordTimeout(Base::TimePoint now, uint32_t consecutiveTimeouts);
    void recordResponse();
    /// A report was received from an entry VM of another failure domain whose backend servers may be used.
    void recordReportReceived(Base::TimePoint now);

    /// Whether most entry VMs of the own failure domain do not report, but those of the others do.
    void setOutnumbered(Base::TimePoint now, bool isOutnumbered);
    bool isOutnumbered() const { return isOutnumbered_; }

    bool isReady(Base::TimePoint now) const
    {
        return isStateComplete_ && !isStopping_ && now >= isolatedUntil_ && !isOutnumbered_;
    }
    bool isIsolated(Base::TimePoint now) const { return now < isolatedUntil_; }

private:
    bool isStateComplete_ { false };
    Base::TimePoint stateCompleteSince_ {};
    bool isStopping_ { false };
    bool isOutnumbered_ { false };
    uint32_t responsesWhileIsolated_ { 0 };
    Base::TimePoint isolatedSince_ {};
    Base::TimePoint isolatedUntil_ {};
};

}
