#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Process/ServerTable.h>
#include <vector>

namespace Steering {

/// Tracks which failure domains this node can reach, from the outcome of its own first packets. A domain is suspect for
/// 700 to 1500 ms after three consecutive first packets without a response. Then one first packet at a time probes it.
class DomainReachability {
public:
    void recordResponse(DomainIndex);
    /// A first packet is sent to the domain.
    void recordAttempt(Base::TimePoint now, DomainIndex);
    /// An entry VM of the domain reports again: the next first packet may probe the domain at once.
    void recordReportReceived(DomainIndex);
    void recordTimeout(Base::TimePoint now, DomainIndex);
    bool isSuspect(Base::TimePoint now, DomainIndex) const;
    Base::TimePoint suspectUntil(DomainIndex) const;

    /// Consecutive first packets without a response, over all domains.
    uint32_t totalConsecutiveTimeouts() const { return totalConsecutiveTimeouts_; }

private:
    struct Domain {
        uint32_t consecutiveTimeouts { 0 };
        Base::milliseconds suspicionTime { 0 };
        Base::TimePoint suspicionEndsAt {};
        Base::TimePoint suspectUntil {};
    };

    Domain& at(DomainIndex);

    std::vector<Domain> domains_;
    uint32_t totalConsecutiveTimeouts_ { 0 };
};

}
