#pragma once

#include <LibBase/Time.h>
#include <cstdint>

namespace Steering {

/// Whether the fabric should send callers here. Not before the beliefs are complete, not after a stop was asked for,
/// and not while this node reaches no backend server, or most entry VMs of its failure domain are silent: callers are
/// then better served by another failure domain's entry VMs.
class Readiness {
public:
    /// A configuration and everything else that the store holds is known.
    void setComplete(Base::TimePoint now);
    void setStopping() { stopping_ = true; }

    /// A first packet brought no sign of life; inRow: how many in a row, over all backend servers.
    void noteUnanswered(Base::TimePoint now, uint32_t inRow);
    void noteAnswered();
    /// An entry VM of a failure domain whose backend servers may be used was heard of.
    void noteHeard(Base::TimePoint now);

    /// Most entry VMs of the own failure domain are silent, and those of the others are not.
    void setOutnumbered(Base::TimePoint now, bool isOutnumbered);
    bool isOutnumbered() const { return isOutnumbered_; }

    bool isReady(Base::TimePoint now) const
    {
        return complete_ && !stopping_ && now >= isolatedUntil_ && !isOutnumbered_;
    }
    bool isIsolated(Base::TimePoint now) const { return now < isolatedUntil_; }

private:
    bool complete_ { false };
    Base::TimePoint completeSince_ {};
    bool stopping_ { false };
    bool isOutnumbered_ { false };
    uint32_t answeredWhileIsolated_ { 0 };
    Base::TimePoint isolatedSince_ {};
    Base::TimePoint isolatedUntil_ {};
};

}
