#pragma once

#include <LibBase/Time.h>
#include <LibControl/Message.h>
#include <map>
#include <optional>
#include <vector>

namespace Control {

/// The time since the last contact with each failure domain, by this node or by its peers. Every probe and gossip
/// message carries these ages and the lowest one counts, so that a few links between two domains inform all of their
/// members.
class DomainContacts {
public:
    /// Records that a round trip with a member of the domain has completed.
    void recordRoundTrip(DomainTag, Base::TimePoint now);
    /// Merges a peer's contact ages.
    void merge(const std::vector<DomainContact>&, Base::TimePoint now);
    /// Starts the age of a domain that has never been contacted.
    void addDomain(DomainTag, Base::TimePoint now);
    /// Time since the last contact; nullopt for an unknown domain.
    std::optional<Base::nanoseconds> age(DomainTag, Base::TimePoint now) const;
    /// The ages of all contacted domains, for message headers.
    std::vector<DomainContact> contactAges(Base::TimePoint now) const;
    /// Subtracts the duration of a pause of this process from all ages.
    void excludePause(Base::TimePoint now, Base::nanoseconds pause);

private:
    struct Entry {
        Base::TimePoint contactAt;
        bool hasContact { false };
    };

    std::map<DomainTag, Entry> entries_;
};

/// Age added at each hop, so that an age that circulates between nodes never appears to decrease.
constexpr Base::milliseconds ageAddedPerHop { 50 };

}
