#include <LibControl/Process/Membership.h>

#include <algorithm>

namespace Control {

using Base::ErrorCode;
using Base::milliseconds;
using Base::TimePoint;

namespace {

    constexpr uint32_t gossipFanOut = 3;
    constexpr milliseconds gossipInterval { 200 };
    /// Interval between probes to other failure domains, multiplied by the number of members of the own domain, so that
    /// a domain sends about the same number of probes whatever its size.
    constexpr milliseconds remoteProbeIntervalPerMember { 20 };
    constexpr milliseconds minimumRemoteProbeInterval { 500 };
    constexpr milliseconds maximumRemoteProbeInterval { 4000 };
    constexpr std::size_t maximumPendingRemoteProbes = 32;
    constexpr milliseconds candidateProbeInterval { 250 };
    constexpr milliseconds joinedCandidateProbeInterval { 2000 };
    constexpr uint32_t initialCandidateProbes = 3;
    constexpr milliseconds deadProbeInterval { 5000 };
    constexpr milliseconds domainCheckInterval { 500 };
    /// Time without a contact after which a failure domain is unreachable.
    constexpr milliseconds domainUnreachableTimeout { 6000 };
    /// Time without a contact after which members of an unreachable failure domain that are not in the VM list are
    /// removed.
    constexpr milliseconds unlistedRemovalTimeout { 30'000 };
    /// Time for which records of dead members are kept, so that late updates do not bring them back.
    constexpr std::chrono::minutes deadMemberRetention { 10 };
    /// With fewer probed members than this, members of other failure domains serve as relays too.
    constexpr std::size_t minimumRelayCandidates = 4;
    /// Members of failure domains smaller than this are probed by all failure domains, since the domain's own members
    /// could not detect the loss of all of them.
    constexpr std::size_t smallDomainThreshold = 3;
    constexpr milliseconds pauseThreshold { 500 };

    std::string field(const char* name, EntryVmId id) { return std::string(name) + "=" + id.endpoint().toString(); }

    MemberUpdate describeSelf(const ControlNode::Options& options)
    {
        return { .id = options.self,
            .incarnation = options.incarnation,
            .refutation = 0,
            .state = MemberState::Alive,
            .accuser = {},
            .failureDomain = options.failureDomain,
            .region = options.region,
            .dataEndpoint = options.dataEndpoint };
    }

}

Membership::Membership(const ControlNode::Options& options, Outbox& outbox, ControlStatistics& statistics)
    : options_(options)
    , outbox_(outbox)
    , statistics_(statistics)
    , random_(Base::mix(options.seed, options.self.value))
    , domain_(domainTag(options.failureDomain))
    , self_(describeSelf(options))
    , detector_({ .self = options.self, .seed = Base::mix(options.seed, options.self.value + 1) })
    , joinCandidates_(options.seeds)
{
    table_.apply(self_, {});
    for (const auto& member : options.members) {
        table_.apply({ .id = member.id,
                         .incarnation = member.incarnation,
                         .state = member.leaving ? MemberState::Leaving : MemberState::Alive,
                         .failureDomain = member.failureDomain,
                         .region = member.region,
                         .dataEndpoint = member.dataEndpoint },
            {});
    }
    options_.members.clear();
    updateQueue_.push(self_, table_.liveCount());
}

const std::vector<EntryVmId>& Membership::ownDomainMembers() const { return table_.findDomain(domain_)->live; }

bool Membership::isProbedHere(const KnownDomain& domain) const
{
    return domain.tag == domain_ || domain.live.size() < smallDomainThreshold;
}

bool Membership::isInOwnDomain(EntryVmId id) const
{
    const auto& members = ownDomainMembers();
    return std::binary_search(members.begin(), members.end(), id);
}

bool Membership::isReachable(EntryVmId id) const
{
    const auto* record = table_.find(id);
    return record && (record->state == MemberState::Alive || record->state == MemberState::Leaving)
        && table_.domains()[record->domain].reachable;
}

void Membership::tick(TimePoint now, bool isWatcher)
{
    if (!lastTickAt_) {
        for (uint32_t count = 0; count < initialCandidateProbes; ++count)
            probeCandidate(now);
        nextRemoteProbeAt_ = now + milliseconds(random_.below(minimumRemoteProbeInterval.count()));
    } else if (now - *lastTickAt_ >= pauseThreshold) {
        ++statistics_.pausesDetected;
        contacts_.excludePause(now, now - *lastTickAt_);
        outbox_.log(Event::ProcessPaused, "seconds=" + std::to_string(Base::toSeconds(now - *lastTickAt_)));
    }
    lastTickAt_ = now;
    runDetector(now);
    gossip(now);
    probeOtherDomain(now, isWatcher);
    if (now >= nextCandidateProbeAt_)
        probeCandidate(now);
    if (now >= nextDeadProbeAt_)
        probeDeadMember(now);
    if (now >= nextDomainCheckAt_)
        updateDomainReachability(now);
    if (now >= nextReconciliationAt_)
        requestDifferingMembers(now);
}

void Membership::runDetector(TimePoint now)
{
    if (probedMembersVersion_ != table_.version()) {
        probedMembersVersion_ = table_.version();
        probedMembers_.clear();
        for (const auto& domain : table_.domains()) {
            if (isProbedHere(domain))
                probedMembers_.insert(probedMembers_.end(), domain.live.begin(), domain.live.end());
        }
        std::sort(probedMembers_.begin(), probedMembers_.end());
        std::erase(probedMembers_, options_.self);
        relays_ = probedMembers_;
        if (relays_.size() < minimumRelayCandidates) {
            for (const auto& domain : table_.domains()) {
                if (!isProbedHere(domain))
                    relays_.insert(relays_.end(), domain.live.begin(), domain.live.end());
            }
        }
    }
    std::vector<ProbeAction> actions;
    detector_.tick(now, probedMembers_, relays_, actions);
    performProbeActions(now, actions);
}

void Membership::performProbeActions(TimePoint now, const std::vector<ProbeAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* ping = std::get_if<SendPing>(&action))
            outbox_.send(ping->to, Ping { .sequence = ping->sequence });
        else if (const auto* request = std::get_if<SendPingRequest>(&action))
            outbox_.send(request->to, PingRequest { .sequence = request->sequence, .target = request->target });
        else if (const auto* indirectResult = std::get_if<SendIndirectResult>(&action))
            outbox_.send(indirectResult->to,
                Acknowledge { .sequence = indirectResult->sequence, .reached = indirectResult->reached });
        else if (const auto* suspicion = std::get_if<RaiseSuspicion>(&action))
            suspect(now, suspicion->id);
        else if (const auto* failure = std::get_if<ConfirmFailure>(&action))
            removeFailed(now, failure->id);
    }
}

void Membership::suspect(TimePoint now, EntryVmId id)
{
    const auto* record = table_.find(id);
    if (!record || record->state == MemberState::Dead)
        return;
    auto update = table_.toUpdate(*record);
    update.state = MemberState::Suspect;
    update.accuser = options_.self;
    ++statistics_.suspicionsRaised;
    detector_.recordSuspicion(now, id, options_.self);
    reportEffect(table_.apply(update, now), update, now);
    update.failureDomain.clear();
    update.region.clear();
    updateQueue_.push(std::move(update), probedMembers_.size() + 1);
    outbox_.send(id, Ping { .sequence = detector_.nextSequenceNumber() });
}

void Membership::removeFailed(TimePoint now, EntryVmId id)
{
    const auto* record = table_.find(id);
    if (!record || record->state != MemberState::Suspect)
        return;
    // A partition may separate this node from another failure domain, so the domain's members stay unreachable until
    // they respond or are no longer in the VM list.
    if (table_.domains()[record->domain].tag != domain_)
        return;
    auto update = table_.toUpdate(*record);
    update.state = MemberState::Dead;
    applyUpdate(now, update, true);
}

void Membership::reportEffect(MemberTable::Effect effect, const MemberUpdate& update, TimePoint now)
{
    switch (effect) {
    case MemberTable::Effect::None:
    case MemberTable::Effect::Refreshed:
        break;
    case MemberTable::Effect::Joined:
        contacts_.addDomain(domainTag(update.failureDomain), now);
        outbox_.log(Event::MemberJoined, field("member", update.id));
        break;
    case MemberTable::Effect::Suspected:
        outbox_.log(Event::MemberSuspected, field("member", update.id) + " " + field("accuser", update.accuser));
        break;
    case MemberTable::Effect::StartedLeaving:
        outbox_.log(Event::MemberLeaving, field("member", update.id));
        break;
    case MemberTable::Effect::Removed:
        ++statistics_.membersRemoved;
        outbox_.log(Event::MemberRemoved, field("member", update.id));
        break;
    }
}

void Membership::applyUpdate(TimePoint now, const MemberUpdate& update, bool disseminate)
{
    if (update.id == options_.self) {
        refute(now, update);
        return;
    }
    const auto* record = table_.find(update.id);
    const bool isProbed
        = record ? isProbedHere(table_.domains()[record->domain]) : domainTag(update.failureDomain) == domain_;
    if (update.state == MemberState::Suspect && !isProbed)
        return;
    const bool isAlreadySuspected = record && record->state == MemberState::Suspect
        && record->incarnation == update.incarnation && record->refutation == update.refutation;
    const auto effect = table_.apply(update, now);
    if (update.state == MemberState::Suspect && (isAlreadySuspected || effect != MemberTable::Effect::None))
        detector_.recordSuspicion(now, update.id, update.accuser);
    if (effect == MemberTable::Effect::None)
        return;
    if (update.state != MemberState::Suspect)
        detector_.clearSuspicion(update.id);
    reportEffect(effect, update, now);
    if (disseminate)
        updateQueue_.push(update, table_.liveCount());
}

void Membership::refute(TimePoint now, const MemberUpdate& update)
{
    const bool contradictsSelf = update.state == MemberState::Suspect || update.state == MemberState::Dead;
    if (update.incarnation > self_.incarnation) {
        self_.incarnation = update.incarnation + 1;
        announceSelf(now);
        return;
    }
    if (!contradictsSelf || update.incarnation < self_.incarnation || update.refutation < self_.refutation)
        return;
    self_.refutation = update.refutation + 1;
    ++statistics_.suspicionsRefuted;
    detector_.recordSelfSuspected();
    outbox_.log(Event::SuspicionRefuted, "refutation=" + std::to_string(self_.refutation));
    announceSelf(now);
}

void Membership::announceSelf(TimePoint now)
{
    table_.apply(self_, now);
    updateQueue_.push(self_, table_.liveCount());
}

void Membership::beginLeaving(TimePoint now)
{
    self_.state = MemberState::Leaving;
    ++self_.refutation;
    announceSelf(now);
    nextGossipAt_ = now;
    gossip(now);
}

void Membership::gossip(TimePoint now)
{
    if (updateQueue_.isEmpty() || now < nextGossipAt_ || probedMembers_.empty())
        return;
    nextGossipAt_ = now + gossipInterval;
    for (uint32_t target = 0; target < gossipFanOut && !updateQueue_.isEmpty(); ++target)
        outbox_.send(probedMembers_[random_.below(probedMembers_.size())], Gossip {});
}

void Membership::probeOtherDomain(TimePoint now, bool isWatcher)
{
    const auto& domains = table_.domains();
    if (now < nextRemoteProbeAt_ || domains.empty())
        return;
    const auto members = static_cast<int64_t>(ownDomainMembers().size());
    const auto maximumInterval = isWatcher ? minimumRemoteProbeInterval : maximumRemoteProbeInterval;
    nextRemoteProbeAt_
        = now + std::clamp(remoteProbeIntervalPerMember * members, minimumRemoteProbeInterval, maximumInterval);
    for (std::size_t step = 0; step < domains.size(); ++step) {
        const auto& domain = domains[nextDomain_++ % domains.size()];
        if (domain.tag == domain_ || domain.live.empty())
            continue;
        const auto sequence = detector_.nextSequenceNumber();
        if (pendingRemoteProbes_.size() >= maximumPendingRemoteProbes)
            pendingRemoteProbes_.erase(pendingRemoteProbes_.begin());
        pendingRemoteProbes_.emplace(sequence, domain.tag);
        outbox_.send(domain.live[random_.below(domain.live.size())], Ping { .sequence = sequence });
        return;
    }
}

void Membership::sendJoinPing(EntryVmId candidate)
{
    isIntroducing_ = true;
    outbox_.send(candidate, Ping { .sequence = detector_.nextSequenceNumber() });
    isIntroducing_ = false;
}

void Membership::probeCandidate(TimePoint now)
{
    nextCandidateProbeAt_ = now + (table_.liveCount() > 1 ? joinedCandidateProbeInterval : candidateProbeInterval);
    while (!joinCandidates_.empty()) {
        const auto index = random_.below(joinCandidates_.size());
        const auto candidate = joinCandidates_[index];
        if (candidate == options_.self || table_.isLive(candidate)) {
            joinCandidates_[index] = joinCandidates_.back();
            joinCandidates_.pop_back();
            continue;
        }
        sendJoinPing(candidate);
        return;
    }
}

void Membership::probeDeadMember(TimePoint now)
{
    nextDeadProbeAt_ = now + deadProbeInterval;
    const auto& dead = table_.dead();
    if (!dead.empty())
        sendJoinPing(dead[random_.below(dead.size())]);
    table_.evictDead(now - deadMemberRetention);
}

void Membership::updateDomainReachability(TimePoint now)
{
    nextDomainCheckAt_ = now + domainCheckInterval;
    if (ownDomainMembers().size() == 1)
        contacts_.recordRoundTrip(domain_, now);
    for (const auto& domain : table_.domains()) {
        contacts_.addDomain(domain.tag, now);
        const bool isReachable = *contacts_.age(domain.tag, now) < domainUnreachableTimeout;
        const auto name = domain.name;
        if (table_.setDomainReachable(domain.tag, isReachable))
            outbox_.log(isReachable ? Event::DomainReachable : Event::DomainUnreachable, "domain=" + name);
    }
    removeUnlisted(now);
}

void Membership::removeUnlisted(TimePoint now)
{
    if (!listed_)
        return;
    std::vector<MemberUpdate> removals;
    for (const auto& domain : table_.domains()) {
        const bool isUnreachable = *contacts_.age(domain.tag, now) >= unlistedRemovalTimeout;
        if (!isUnreachable && domain.tag != domain_)
            continue;
        for (const auto id : domain.live) {
            const auto* record = table_.find(id);
            if (id == options_.self || std::binary_search(listed_->begin(), listed_->end(), id))
                continue;
            if (isUnreachable || record->state == MemberState::Suspect)
                removals.push_back(table_.toUpdate(*record));
        }
    }
    for (auto& update : removals) {
        update.state = MemberState::Dead;
        applyUpdate(now, update, true);
    }
}

void Membership::handleVmList(TimePoint now, const std::vector<ListedVm>& list)
{
    listed_.emplace();
    listedInDomain_.clear();
    for (const auto& vm : list) {
        listed_->push_back(vm.id);
        if (vm.failureDomain == options_.failureDomain)
            listedInDomain_.push_back(vm.id);
        if (vm.id != options_.self && !table_.isLive(vm.id))
            joinCandidates_.push_back(vm.id);
    }
    std::sort(listed_->begin(), listed_->end());
    std::sort(listedInDomain_.begin(), listedInDomain_.end());
    std::sort(joinCandidates_.begin(), joinCandidates_.end());
    joinCandidates_.erase(std::unique(joinCandidates_.begin(), joinCandidates_.end()), joinCandidates_.end());
    if (table_.liveCount() == 1)
        probeCandidate(now);
}

}
