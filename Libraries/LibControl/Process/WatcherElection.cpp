#include <LibControl/Process/WatcherElection.h>

#include <LibBase/Hash.h>
#include <LibControl/Process/DomainContacts.h>
#include <algorithm>

namespace Control {

using Base::TimePoint;

namespace {

    /// Minimum time between rankings, which iterate over all members of the failure domain.
    constexpr Base::milliseconds rankingInterval { 300 };

}

std::string watcherKey(std::string_view failureDomain, uint32_t slot)
{
    return "control/watcher/" + std::string(failureDomain) + "/" + std::to_string(slot);
}

WatcherElection::WatcherElection(const Options& options)
    : options_(options)
    , domain_(domainTag(options.failureDomain))
    , vacantSince_(options.slots)
    , nextRankingAt_(options.slots)
{
}

bool WatcherElection::recordAnnouncement(const WatcherAnnouncement& announcement, TimePoint now)
{
    auto& slotState = slotStates_[{ announcement.domain, announcement.slot }];
    if (announcement.epoch < slotState.epoch)
        return false;
    const bool isOwn = announcement.holder == options_.self;
    const auto confirmedAt = now - announcement.age - (isOwn ? Base::milliseconds(0) : ageAddedPerHop);
    if (announcement.epoch > slotState.epoch)
        slotState = { .holder = announcement.holder, .epoch = announcement.epoch, .confirmedAt = confirmedAt };
    slotState.confirmedAt = std::max(slotState.confirmedAt, confirmedAt);
    return true;
}

bool WatcherElection::isCurrent(DomainTag domain, uint32_t slot, uint64_t epoch) const
{
    const auto found = slotStates_.find({ domain, slot });
    return found == slotStates_.end() || epoch >= found->second.epoch;
}

std::optional<EntryVmId> WatcherElection::holder(uint32_t slot, TimePoint now) const
{
    const auto found = slotStates_.find({ domain_, slot });
    if (found == slotStates_.end() || now - found->second.confirmedAt > options_.holderTimeout)
        return std::nullopt;
    return found->second.holder;
}

std::size_t WatcherElection::rankOf(
    uint32_t slot, const std::vector<EntryVmId>& members, const std::vector<EntryVmId>& listed) const
{
    const auto weight = [&](EntryVmId id) { return Base::mix(id.value, slot + 1); };
    const auto ownWeight = weight(options_.self);
    std::size_t rank = 0;
    for (const auto id : members)
        rank += weight(id) > ownWeight ? 1 : 0;
    for (const auto id : listed) {
        const bool isKnownMember = std::binary_search(members.begin(), members.end(), id);
        rank += !isKnownMember && weight(id) > ownWeight ? 1 : 0;
    }
    return rank;
}

bool WatcherElection::shouldContend(
    uint32_t slot, const std::vector<EntryVmId>& members, const std::vector<EntryVmId>& listed, TimePoint now)
{
    auto& vacantSince = vacantSince_[slot];
    if (holder(slot, now)) {
        vacantSince.reset();
        return false;
    }
    if (!vacantSince)
        vacantSince = now;
    const auto vacantFor = now - *vacantSince;
    if (vacantFor < options_.rankDelay || now < nextRankingAt_[slot])
        return false;
    nextRankingAt_[slot] = now + rankingInterval;
    static const std::vector<EntryVmId> noListedMembers;
    const auto rank = rankOf(slot, members, vacantFor < options_.listedMembersTimeout ? listed : noListedMembers);
    if (rank >= options_.candidatesPerSlot)
        return false;
    return vacantFor >= options_.rankDelay * static_cast<int64_t>(rank + 1);
}

std::vector<WatcherAnnouncement> WatcherElection::currentAnnouncements(TimePoint now) const
{
    std::vector<WatcherAnnouncement> announcements;
    for (const auto& [key, slotState] : slotStates_) {
        if (key.first != domain_ || now - slotState.confirmedAt > options_.holderTimeout)
            continue;
        announcements.push_back({ .domain = key.first,
            .slot = key.second,
            .holder = slotState.holder,
            .epoch = slotState.epoch,
            .age = std::chrono::duration_cast<Base::milliseconds>(now - slotState.confirmedAt) });
    }
    return announcements;
}

}
