#include <LibSteering/Process/DomainReachability.h>

#include <algorithm>

namespace Steering {

namespace {

    /// On a path that loses one packet in twenty, three consecutive losses have a probability of one in eight thousand.
    constexpr uint32_t suspicionThreshold = 3;
    /// A network partition lasts seconds. A failed probe costs its caller only a hedged connection attempt, so that
    /// probes may be frequent.
    constexpr Base::milliseconds minimumSuspicionTime { 700 };
    constexpr Base::milliseconds maximumSuspicionTime { 1500 };
    /// Longer than the response to a single probe takes on any usable path.
    constexpr Base::milliseconds probeTimeout { 200 };

}

DomainReachability::Domain& DomainReachability::at(DomainIndex domain)
{
    if (domain >= domains_.size())
        domains_.resize(domain + 1);
    return domains_[domain];
}

void DomainReachability::recordResponse(DomainIndex domain)
{
    at(domain) = {};
    totalConsecutiveTimeouts_ = 0;
}

void DomainReachability::recordAttempt(Base::TimePoint now, DomainIndex index)
{
    auto& domain = at(index);
    if (domain.consecutiveTimeouts >= suspicionThreshold)
        domain.suspectUntil = std::max(domain.suspectUntil, now + probeTimeout);
}

void DomainReachability::recordReportReceived(DomainIndex index) { at(index).suspectUntil = {}; }

void DomainReachability::recordTimeout(Base::TimePoint now, DomainIndex index)
{
    ++totalConsecutiveTimeouts_;
    auto& domain = at(index);
    ++domain.consecutiveTimeouts;
    if (domain.consecutiveTimeouts < suspicionThreshold)
        return;
    // Packets that were already in transit when the suspicion began must not lengthen the next one.
    if (now >= domain.suspicionEndsAt)
        domain.suspicionTime = std::clamp(domain.suspicionTime * 2, minimumSuspicionTime, maximumSuspicionTime);
    domain.suspicionEndsAt = now + domain.suspicionTime;
    domain.suspectUntil = domain.suspicionEndsAt;
}

bool DomainReachability::isSuspect(Base::TimePoint now, DomainIndex domain) const
{
    return domain < domains_.size() && now < domains_[domain].suspectUntil;
}

Base::TimePoint DomainReachability::suspectUntil(DomainIndex domain) const
{
    return domain < domains_.size() ? domains_[domain].suspectUntil : Base::TimePoint {};
}

}
