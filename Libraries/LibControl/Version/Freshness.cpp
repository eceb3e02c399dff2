#include <LibControl/Version/Freshness.h>

#include <LibControl/Process/DomainContacts.h>

namespace Control {

using Base::TimePoint;

namespace {

    /// Evidence older than this is stale.
    constexpr std::chrono::seconds freshnessTimeout { 15 };

    bool isFresh(const std::optional<TimePoint>& time, TimePoint now) { return time && now - *time < freshnessTimeout; }

}

void Freshness::recordStoreConfirmation(TimePoint now, Revision revision)
{
    storeReadAt_ = now;
    confirmedAt_ = now;
    confirmed_ = revision;
}

void Freshness::recordPeerHeader(TimePoint now, const MessageHeader& header, Revision ownRevision)
{
    if (ownRevision.isValid() && header.newest == ownRevision)
        peerAgreedAt_ = now;
    if (!header.confirmed.isValid() || header.confirmed > ownRevision)
        return;
    const auto confirmedAt = now - header.confirmationAge - ageAddedPerHop;
    if (!confirmedAt_ || confirmedAt > *confirmedAt_) {
        confirmedAt_ = confirmedAt;
        confirmed_ = header.confirmed;
    }
}

void Freshness::recordAdoption(TimePoint now, Revision revision, bool fromStore)
{
    adoptedAt_ = now;
    peerAgreedAt_ = now;
    if (fromStore)
        recordStoreConfirmation(now, revision);
}

Evidence Freshness::evidence(TimePoint now, Revision ownRevision) const
{
    if (!ownRevision.isValid())
        return Evidence::None;
    if (isFresh(storeReadAt_, now))
        return Evidence::Store;
    return isFresh(peerAgreedAt_, now) || isFresh(confirmedAt_, now) ? Evidence::Peers : Evidence::Unconfirmed;
}

Base::nanoseconds Freshness::age(TimePoint now) const { return now - confirmedAt_.value_or(adoptedAt_); }

void Freshness::fillHeader(TimePoint now, MessageHeader& header) const
{
    if (!confirmedAt_)
        return;
    header.confirmed = confirmed_;
    header.confirmationAge = std::chrono::duration_cast<Base::milliseconds>(now - *confirmedAt_);
}

}
