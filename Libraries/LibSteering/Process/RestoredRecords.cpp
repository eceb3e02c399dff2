#include <LibSteering/Process/RestoredRecords.h>

#include <utility>

namespace Steering {

namespace {

    constexpr Base::milliseconds rewriteTimeout { 5000 };

}

std::optional<RestoredRecords::Subject> RestoredRecords::subjectOf(const StateEvent& event)
{
    if (const auto* listed = std::get_if<ServerListed>(&event))
        return std::pair(listed->entry.number, listed->entry.id);
    if (const auto* unlisted = std::get_if<ServerUnlisted>(&event))
        return std::pair(unlisted->number, unlisted->id);
    if (const auto* evacuation = std::get_if<DomainEvacuation>(&event))
        return evacuation->failureDomain;
    if (const auto* listed = std::get_if<PeerListed>(&event))
        return listed->peer;
    if (const auto* unlisted = std::get_if<PeerUnlisted>(&event))
        return unlisted->peer;
    return std::nullopt;
}

void RestoredRecords::beginCopy(Base::TimePoint now)
{
    isReadingCopy_ = true;
    endsAt_ = now + rewriteTimeout;
}

bool RestoredRecords::contradictsKnown(const StateEvent& event) const
{
    if (const auto* listed = std::get_if<ServerListed>(&event))
        return options_.isOutdated(listed->entry);
    if (const auto* evacuation = std::get_if<DomainEvacuation>(&event)) {
        if (!evacuation->isEvacuated)
            return true;
        // A record written after the copy has a later revision than the one that is known to have been removed.
        const auto ended = endedEvacuations_.find(evacuation->failureDomain);
        return ended != endedEvacuations_.end() && ended->second == evacuation->revision;
    }
    // ServerTable keeps servers without an entry for a shorter time; see ServerTable::beginRemovalGrace().
    return std::holds_alternative<PeerUnlisted>(event);
}

void RestoredRecords::recordEvacuation(const DomainEvacuation& event)
{
    if (event.isEvacuated) {
        evacuations_[event.failureDomain] = event.revision;
        endedEvacuations_.erase(event.failureDomain);
        return;
    }
    if (const auto ended = evacuations_.extract(event.failureDomain))
        endedEvacuations_[event.failureDomain] = ended.mapped();
}

bool RestoredRecords::tryHoldBack(const StateEvent& event)
{
    const auto subject = subjectOf(event);
    if (!subject)
        return false;
    heldBack_.erase(*subject);
    if (isReadingCopy_ && contradictsKnown(event)) {
        heldBack_[*subject] = event;
        return true;
    }
    if (const auto* evacuation = std::get_if<DomainEvacuation>(&event))
        recordEvacuation(*evacuation);
    return false;
}

std::vector<StateEvent> RestoredRecords::takeDue(Base::TimePoint now)
{
    std::vector<StateEvent> due;
    if (now < endsAt_)
        return due;
    for (auto& [subject, event] : std::exchange(heldBack_, {})) {
        if (const auto* evacuation = std::get_if<DomainEvacuation>(&event))
            recordEvacuation(*evacuation);
        due.push_back(std::move(event));
    }
    return due;
}

}
