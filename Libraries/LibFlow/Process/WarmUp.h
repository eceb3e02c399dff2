#pragma once

#include <LibBase/Time.h>

namespace Flow {

using Base::milliseconds;
using Base::TimePoint;

/// Slow start of one backend server from cold to full load. Only the owner admits flows to the server, so this bounds
/// the load from all balancers together.
class WarmUp {
public:
    /// Starts slow start: the server is cold.
    void restart(TimePoint now) { coldSince_ = now; }
    /// Applies the warmth that another balancer reports, if it is lower than the local one.
    void applyPeerWarmth(TimePoint now, double warmth, milliseconds duration);
    /// Returns the fraction of the full load that the server may get, in (0, 1].
    double warmth(TimePoint now, milliseconds duration) const;
    /// Adds a credit equal to the warmth, for a new flow whose bucket belongs to the server.
    void earnCredit(TimePoint now, milliseconds duration);
    /// Whether the server may get a flow that other servers could serve: always if warm, otherwise only with a credit
    /// of at least 1.
    bool hasCredit(TimePoint now, milliseconds duration) const;
    /// Subtracts the credit of a flow that was sent to the server.
    void spendCredit() { credit_ = credit_ > 1 ? credit_ - 1 : 0; }

private:
    static constexpr double minimumWarmth = 0.05;
    static constexpr double maximumCredit = 2;

    TimePoint coldSince_ { TimePoint::min() };
    double credit_ { 0 };
};

}
