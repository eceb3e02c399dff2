#include <LibControl/Process/MemberTable.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Control {

namespace {

    uint64_t digestContribution(const MemberRecord& record)
    {
        return Base::mix(Base::mix(record.id.value, record.incarnation), record.leaving ? 1 : 0);
    }

    bool isNewer(const MemberUpdate& update, const MemberRecord& record)
    {
        if (update.incarnation != record.incarnation)
            return update.incarnation > record.incarnation;
        if (update.refutation != record.refutation)
            return update.refutation > record.refutation;
        return update.state > record.state;
    }

}

MemberRecord* MemberTable::findMutable(EntryVmId id)
{
    const auto found = indexes_.find(id);
    return found == indexes_.end() ? nullptr : &records_[found->second];
}

const MemberRecord* MemberTable::find(EntryVmId id) const { return const_cast<MemberTable*>(this)->findMutable(id); }

bool MemberTable::isLive(EntryVmId id) const
{
    const auto* record = find(id);
    return record && record->state != MemberState::Dead;
}

uint16_t MemberTable::findOrAddDomain(const MemberUpdate& update)
{
    const auto tag = domainTag(update.failureDomain);
    for (std::size_t index = 0; index < domains_.size(); ++index) {
        if (domains_[index].tag == tag)
            return static_cast<uint16_t>(index);
    }
    domains_.push_back({ .tag = tag, .name = update.failureDomain, .region = update.region, .live = {} });
    return static_cast<uint16_t>(domains_.size() - 1);
}

void MemberTable::addLive(const MemberRecord& record)
{
    auto& domain = domains_[record.domain];
    domain.live.insert(std::lower_bound(domain.live.begin(), domain.live.end(), record.id), record.id);
    domain.digest ^= digestContribution(record);
    ++liveCount_;
}

void MemberTable::removeLive(const MemberRecord& record)
{
    auto& domain = domains_[record.domain];
    domain.live.erase(std::lower_bound(domain.live.begin(), domain.live.end(), record.id));
    domain.digest ^= digestContribution(record);
    --liveCount_;
}

MemberTable::Effect MemberTable::apply(const MemberUpdate& update, Base::TimePoint now)
{
    auto* record = findMutable(update.id);
    if (record && !isNewer(update, *record))
        return Effect::None;
    if (!record && update.failureDomain.empty())
        return Effect::None;
    const bool wasLive = record && record->state != MemberState::Dead;
    const bool wasLeaving = record && record->leaving && record->incarnation == update.incarnation;
    if (!record) {
        indexes_.emplace(update.id, static_cast<uint32_t>(records_.size()));
        record = &records_.emplace_back(MemberRecord { .id = update.id });
    } else if (wasLive) {
        removeLive(*record);
    }
    const bool isNewProcess = record->incarnation != update.incarnation;
    record->incarnation = update.incarnation;
    record->refutation = update.refutation;
    record->state = update.state;
    record->leaving = wasLeaving || update.state == MemberState::Leaving;
    record->changedAt = now;
    if (update.dataEndpoint.port != 0 || isNewProcess)
        record->dataEndpoint = update.dataEndpoint;
    if (!update.failureDomain.empty())
        record->domain = findOrAddDomain(update);
    ++version_;
    std::erase(dead_, update.id);
    if (update.state == MemberState::Dead) {
        dead_.push_back(update.id);
        return wasLive ? Effect::Removed : Effect::Refreshed;
    }
    addLive(*record);
    if (!wasLive || isNewProcess)
        return Effect::Joined;
    if (update.state == MemberState::Suspect)
        return Effect::Suspected;
    return update.state == MemberState::Leaving && !wasLeaving ? Effect::StartedLeaving : Effect::Refreshed;
}

MemberUpdate MemberTable::toUpdate(const MemberRecord& record) const
{
    const auto& domain = domains_[record.domain];
    return { .id = record.id,
        .incarnation = record.incarnation,
        .refutation = record.refutation,
        .state = record.state,
        .accuser = {},
        .failureDomain = domain.name,
        .region = domain.region,
        .dataEndpoint = record.dataEndpoint };
}

const KnownDomain* MemberTable::findDomain(DomainTag tag) const
{
    for (const auto& domain : domains_) {
        if (domain.tag == tag)
            return &domain;
    }
    return nullptr;
}

bool MemberTable::setDomainReachable(DomainTag tag, bool reachable)
{
    for (auto& domain : domains_) {
        if (domain.tag != tag || domain.reachable == reachable)
            continue;
        domain.reachable = reachable;
        ++version_;
        return true;
    }
    return false;
}

void MemberTable::evictDead(Base::TimePoint diedBefore)
{
    const auto isExpired = [&](const MemberRecord& record) {
        return record.state == MemberState::Dead && record.changedAt < diedBefore;
    };
    std::erase_if(dead_, [&](EntryVmId id) { return isExpired(*find(id)); });
    if (std::erase_if(records_, isExpired) == 0)
        return;
    indexes_.clear();
    for (uint32_t index = 0; index < records_.size(); ++index)
        indexes_.emplace(records_[index].id, index);
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> members;
    members.reserve(liveCount_);
    for (const auto& record : records_) {
        if (record.state == MemberState::Dead)
            continue;
        const auto& domain = domains_[record.domain];
        members.push_back({ .id = record.id,
            .incarnation = record.incarnation,
            .failureDomain = domain.name,
            .region = domain.region,
            .dataEndpoint = record.dataEndpoint,
            .reachable = domain.reachable && record.state != MemberState::Suspect,
            .leaving = record.leaving });
    }
    std::sort(
        members.begin(), members.end(), [](const Member& first, const Member& second) { return first.id < second.id; });
    return members;
}

std::size_t MemberTable::bucketOf(EntryVmId id) { return Base::mix(id.value) % bucketCount; }

std::array<uint64_t, MemberTable::bucketCount> MemberTable::bucketHashes(DomainTag tag) const
{
    std::array<uint64_t, bucketCount> hashes {};
    const auto* domain = findDomain(tag);
    if (!domain)
        return hashes;
    for (const auto id : domain->live)
        hashes[bucketOf(id)] ^= digestContribution(*find(id));
    return hashes;
}

}
