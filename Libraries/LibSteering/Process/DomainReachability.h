#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Process/ServerTable.h>
#include <vector>

namespace Steering {

/// Which failure domains this node can reach, judged by what its own first packets met there. A domain is suspect for a
/// while after several of them in a row brought no sign of life. Then one first packet at a time tries it again.
class DomainReachability {
public:
    void noteAnswered(DomainIndex);
    /// A first packet goes there.
    void noteAttempt(Base::TimePoint now, DomainIndex);
    /// An entry VM there was heard of: the next first packet may try it at once.
    void noteHeard(DomainIndex);
    void noteUnanswered(Base::TimePoint now, DomainIndex);
    bool isSuspect(Base::TimePoint now, DomainIndex) const;
    Base::TimePoint suspectUntil(DomainIndex) const;

    /// First packets in a row, over all domains, that brought no sign of life.
    uint32_t unansweredInRow() const { return unansweredInRow_; }

private:
    struct Domain {
        uint32_t unanswered { 0 };
        Base::milliseconds suspicion { 0 };
        Base::TimePoint suspicionEnds {};
        Base::TimePoint suspectUntil {};
    };

    Domain& at(DomainIndex);

    std::vector<Domain> domains_;
    uint32_t unansweredInRow_ { 0 };
};

}
