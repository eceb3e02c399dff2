#include <LibControl/Process/DomainContacts.h>

#include <algorithm>

namespace Control {

using Base::TimePoint;

void DomainContacts::recordRoundTrip(DomainTag domain, TimePoint now)
{
    entries_[domain] = { .contactAt = now, .hasContact = true };
}

void DomainContacts::addDomain(DomainTag domain, TimePoint now)
{
    entries_.try_emplace(domain, Entry { .contactAt = now });
}

void DomainContacts::merge(const std::vector<DomainContact>& contacts, TimePoint now)
{
    for (const auto& contact : contacts) {
        const auto peerContactAt = now - contact.age - ageAddedPerHop;
        auto& entry = entries_[contact.domain];
        if (!entry.hasContact || peerContactAt > entry.contactAt)
            entry = { .contactAt = peerContactAt, .hasContact = true };
    }
}

std::optional<Base::nanoseconds> DomainContacts::age(DomainTag domain, TimePoint now) const
{
    const auto found = entries_.find(domain);
    if (found == entries_.end())
        return std::nullopt;
    return now - found->second.contactAt;
}

std::vector<DomainContact> DomainContacts::contactAges(TimePoint now) const
{
    std::vector<DomainContact> contacts;
    for (const auto& [domain, entry] : entries_) {
        if (entry.hasContact)
            contacts.push_back(
                { .domain = domain, .age = std::chrono::duration_cast<Base::milliseconds>(now - entry.contactAt) });
    }
    return contacts;
}

void DomainContacts::excludePause(TimePoint now, Base::nanoseconds pause)
{
    for (auto& [domain, entry] : entries_)
        entry.contactAt = std::min(now, entry.contactAt + pause);
}

}
