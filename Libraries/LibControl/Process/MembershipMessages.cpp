// Message handling of the membership protocol.

#include <LibControl/Process/Membership.h>

#include <algorithm>

namespace Control {

using Base::ErrorCode;
using Base::milliseconds;
using Base::TimePoint;

namespace {

    constexpr std::size_t maximumUpdatesPerProbe = 8;
    constexpr std::size_t maximumUpdatesPerGossip = 12;
    constexpr std::size_t maximumUpdatesPerList = 40;
    /// Limit on the updates sent in response to one request, which bounds what a joining member receives.
    constexpr std::size_t maximumUpdatesPerRequest = 160;
    constexpr milliseconds reconciliationInterval { 1000 };
    /// Digests that differ for less than this are likely to be resolved by updates in transit.
    constexpr milliseconds digestMismatchGracePeriod { 3000 };
    constexpr std::size_t maximumJoinCandidates = 8192;

}

Base::ErrorOr<void> Membership::handleHeader(TimePoint now, EntryVmId sender, const MessageHeader& header)
{
    const auto* record = table_.find(sender);
    if (record && header.incarnation < record->incarnation) {
        ++statistics_.staleMessages;
        return Base::makeError(ErrorCode::Stale, "message from an earlier incarnation of the sender");
    }
    detector_.recordMessageReceived(now);
    contacts_.merge(header.contacts, now);
    for (const auto& update : header.updates)
        applyUpdate(now, update, true);
    record = table_.find(sender);
    if (!record || record->incarnation < header.incarnation) {
        if (joinCandidates_.size() < maximumJoinCandidates
            && std::find(joinCandidates_.begin(), joinCandidates_.end(), sender) == joinCandidates_.end())
            joinCandidates_.push_back(sender);
    } else if (record->state == MemberState::Dead) {
        outbox_.send(sender, MemberList { .failureDomain = {}, .region = {}, .updates = { table_.toUpdate(*record) } });
    }
    compareDigests(now, sender, header.digests);
    return {};
}

void Membership::handlePing(EntryVmId sender, const MessageHeader& header, const Ping& ping)
{
    isIntroducing_ = std::any_of(
        header.updates.begin(), header.updates.end(), [&](const MemberUpdate& update) { return update.id == sender; });
    outbox_.send(sender, Acknowledge { .sequence = ping.sequence });
    isIntroducing_ = false;
}

void Membership::handleAcknowledge(TimePoint now, EntryVmId sender, const Acknowledge& acknowledge)
{
    if (const auto found = pendingRemoteProbes_.find(acknowledge.sequence); found != pendingRemoteProbes_.end()) {
        contacts_.recordRoundTrip(found->second, now);
        pendingRemoteProbes_.erase(found);
    }
    if (isInOwnDomain(sender))
        contacts_.recordRoundTrip(domain_, now);
    std::vector<ProbeAction> actions;
    detector_.handleAcknowledge(now, sender, acknowledge.sequence, acknowledge.reached, actions);
    performProbeActions(now, actions);
}

void Membership::handlePingRequest(TimePoint now, EntryVmId sender, const PingRequest& request)
{
    std::vector<ProbeAction> actions;
    detector_.handlePingRequest(now, sender, request.sequence, request.target, actions);
    performProbeActions(now, actions);
}

bool Membership::digestMatches(DomainTag tag, uint64_t hash) const
{
    const auto* domain = table_.findDomain(tag);
    return (domain ? domain->digest : 0) == hash;
}

void Membership::compareDigests(TimePoint now, EntryVmId sender, const std::vector<MemberDigest>& digests)
{
    for (const auto& digest : digests) {
        if (digestMatches(digest.domain, digest.hash)) {
            mismatches_.erase(digest.domain);
            continue;
        }
        auto& mismatch = mismatches_.try_emplace(digest.domain, DigestMismatch { .since = now }).first->second;
        mismatch.member = sender;
        mismatch.hash = digest.hash;
    }
}

void Membership::requestDifferingMembers(TimePoint now)
{
    DigestMismatch* selected = nullptr;
    DomainTag selectedTag = 0;
    std::erase_if(mismatches_, [&](const auto& entry) { return digestMatches(entry.first, entry.second.hash); });
    for (auto& [tag, mismatch] : mismatches_) {
        const auto* domain = table_.findDomain(tag);
        const bool isJoining = !domain || domain->live.size() <= 1 || isReceivingNewMembers_;
        if (!isJoining && now - mismatch.since < digestMismatchGracePeriod)
            continue;
        if (!selected || tag == domain_) {
            selected = &mismatch;
            selectedTag = tag;
        }
    }
    isReceivingNewMembers_ = false;
    if (!selected)
        return;
    nextReconciliationAt_ = now + reconciliationInterval;
    selected->since = now;
    const auto hashes = table_.bucketHashes(selectedTag);
    outbox_.send(
        selected->member, MembersRequest { .domain = selectedTag, .bucketHashes = { hashes.begin(), hashes.end() } });
}

std::vector<EntryVmId> Membership::differingMembers(const KnownDomain& domain, const MembersRequest& request) const
{
    const auto ownHashes = table_.bucketHashes(domain.tag);
    std::vector<EntryVmId> members;
    const auto add = [&](EntryVmId id) {
        const auto bucket = MemberTable::bucketOf(id);
        if (ownHashes[bucket] != request.bucketHashes[bucket] && &table_.domains()[table_.find(id)->domain] == &domain)
            members.push_back(id);
    };
    std::for_each(domain.live.begin(), domain.live.end(), add);
    std::for_each(table_.dead().begin(), table_.dead().end(), add);
    std::stable_sort(members.begin(), members.end(),
        [](EntryVmId first, EntryVmId second) { return MemberTable::bucketOf(first) < MemberTable::bucketOf(second); });
    return members;
}

void Membership::handleMembersRequest(EntryVmId sender, const MembersRequest& request)
{
    const auto* domain = table_.findDomain(request.domain);
    if (!domain || request.bucketHashes.size() != MemberTable::bucketCount)
        return;
    auto members = differingMembers(*domain, request);
    members.resize(std::min(members.size(), maximumUpdatesPerRequest));
    const MemberList empty { .failureDomain = domain->name, .region = domain->region, .updates = {} };
    auto list = empty;
    for (const auto id : members) {
        auto update = table_.toUpdate(*table_.find(id));
        update.failureDomain.clear();
        update.region.clear();
        list.updates.push_back(std::move(update));
        if (list.updates.size() == maximumUpdatesPerList && !outbox_.send(sender, std::exchange(list, empty)))
            return;
    }
    if (!list.updates.empty())
        outbox_.send(sender, std::move(list));
}

void Membership::handleMemberList(TimePoint now, const MemberList& list)
{
    const auto before = table_.version();
    for (auto update : list.updates) {
        if (update.failureDomain.empty()) {
            update.failureDomain = list.failureDomain;
            update.region = list.region;
        }
        applyUpdate(now, update, false);
    }
    isReceivingNewMembers_ = isReceivingNewMembers_ || table_.version() != before;
}

std::vector<MemberDigest> Membership::digestsFor(const MessageBody& body)
{
    const auto& domains = table_.domains();
    std::vector<MemberDigest> digests;
    const bool isProbe = std::holds_alternative<Ping>(body);
    if (isIntroducing_) {
        for (const auto& domain : domains)
            digests.push_back({ .domain = domain.tag, .hash = domain.digest });
    } else if (isProbe) {
        const auto& domain = domains[nextDigest_++ % domains.size()];
        digests.push_back({ .domain = domain.tag, .hash = domain.digest });
    }
    return digests;
}

void Membership::fillHeader(TimePoint now, EntryVmId to, const MessageBody& body, MessageHeader& header)
{
    header.incarnation = self_.incarnation;
    const bool isGossip = std::holds_alternative<Gossip>(body);
    const bool isProbe = std::holds_alternative<Ping>(body) || std::holds_alternative<Acknowledge>(body);
    if (!isGossip && !isProbe)
        return;
    header.updates = updateQueue_.nextBatch(isGossip ? maximumUpdatesPerGossip : maximumUpdatesPerProbe);
    header.contacts = contacts_.contactAges(now);
    header.digests = digestsFor(body);
    if (isIntroducing_)
        header.updates.push_back(self_);
    const auto* record = table_.find(to);
    if (record && record->state == MemberState::Suspect)
        header.updates.push_back(table_.toUpdate(*record));
}

}
