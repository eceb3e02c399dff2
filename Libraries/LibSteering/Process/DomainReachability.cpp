#include <LibSteering/Process/DomainReachability.h>

#include <algorithm>

namespace Steering {

namespace {

    /// Three losses in a row on a path that loses one packet in twenty are one in eight thousand.
    constexpr uint32_t unansweredUntilSuspect = 3;
    /// A cut lasts seconds; each attempt costs callers a second offer only, so that attempts may be frequent.
    constexpr Base::milliseconds firstSuspicion { 700 };
    constexpr Base::milliseconds longestSuspicion { 1500 };
    /// Longer than the answer to a single attempt takes, on any path that is worth using.
    constexpr Base::milliseconds attemptTime { 200 };

}

DomainReachability::Domain& DomainReachability::at(DomainIndex domain)
{
    if (domain >= domains_.size())
        domains_.resize(domain + 1);
    return domains_[domain];
}

void DomainReachability::noteAnswered(DomainIndex domain)
{
    at(domain) = {};
    unansweredInRow_ = 0;
}

void DomainReachability::noteAttempt(Base::TimePoint now, DomainIndex index)
{
    auto& domain = at(index);
    if (domain.unanswered >= unansweredUntilSuspect)
        domain.suspectUntil = std::max(domain.suspectUntil, now + attemptTime);
}

void DomainReachability::noteHeard(DomainIndex index) { at(index).suspectUntil = {}; }

void DomainReachability::noteUnanswered(Base::TimePoint now, DomainIndex index)
{
    ++unansweredInRow_;
    auto& domain = at(index);
    ++domain.unanswered;
    if (domain.unanswered < unansweredUntilSuspect)
        return;
    // Packets that were already on their way when the suspicion began must not lengthen the next one.
    if (now >= domain.suspicionEnds)
        domain.suspicion = std::clamp(domain.suspicion * 2, firstSuspicion, longestSuspicion);
    domain.suspicionEnds = now + domain.suspicion;
    domain.suspectUntil = domain.suspicionEnds;
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
