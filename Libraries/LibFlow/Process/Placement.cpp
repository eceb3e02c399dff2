#include <LibFlow/Process/Placement.h>
#include <algorithm>

namespace Flow {

namespace {

    /// Maximum number of times that a flow hash is mixed again to find a reachable owner.
    constexpr uint32_t maximumRehashes = 16;
    /// After a bucket move or a change of owner, former owners are queried for this time even about packets that open a
    /// TCP flow.
    constexpr Base::seconds formerOwnerQueryWindow { 3 };

}

Ranks Placement::ranks(BackendServerId server) const
{
    const auto* entry = state_.routing.findServer(server);
    return entry ? state_.ranking.ranks(server, entry->server->failureDomain) : Ranks {};
}

Placement::FlowOwner Placement::findOwner(const Configuration::Service& service, uint64_t flowHash) const
{
    const auto& history = state_.routing.buckets(service.id);
    auto target = history.current().lookUp(flowHash);
    if (!target.isValid()) {
        auto move = history.lastMove(flowHash);
        return { .server = {}, .balancer = move ? actingOwner(move->from) : EntryVmId {} };
    }
    auto balancer = actingOwner(target);
    for (uint32_t i = 1; !balancer.isValid() && i <= maximumRehashes; ++i) {
        target = history.current().lookUp(Base::mix(flowHash, i));
        balancer = actingOwner(target);
    }
    return { .server = target, .balancer = balancer };
}

std::vector<Placement::CandidateHolder> Placement::candidateHolders(
    TimePoint now, const AddressIndex::Entry& entry, const FlowOwner& flowOwner, uint64_t flowHash, bool isFirst) const
{
    bool isUdp = entry.portClass->protocol == Configuration::Protocol::Udp;
    auto window = isUdp ? std::max<Base::milliseconds>(entry.portClass->idleTimeout, formerOwnerQueryWindow)
                        : Base::milliseconds { formerOwnerQueryWindow };
    auto isRecent = [&](TimePoint at) { return at != TimePoint::min() && (!isFirst || now - at < window); };
    std::vector<CandidateHolder> candidateHolders;
    auto add = [&](EntryVmId balancer, BackendServerId server) {
        const auto* peer = state_.ranking.findPeer(balancer);
        bool isKnown = std::any_of(candidateHolders.begin(), candidateHolders.end(),
            [balancer](const CandidateHolder& candidate) { return candidate.balancer == balancer; });
        if (peer && peer->reachable && !isKnown)
            candidateHolders.push_back({ .balancer = balancer, .server = server });
    };
    auto move = state_.routing.buckets(entry.service->id).lastMove(flowHash);
    auto addMove = [&] {
        if (move && isRecent(move->at))
            add(actingOwner(move->from), move->from);
    };
    // The balancer that most recently lost responsibility for the flow is the most likely one to have a record.
    auto runtime = state_.runtimes.find(flowOwner.server);
    bool ownerChangedLast
        = runtime != state_.runtimes.end() && move && runtime->second.ownedWithoutHistorySince > move->at;
    if (!ownerChangedLast)
        addMove();
    for (auto former : formerOwners(now, flowOwner.server, isFirst && !isUdp))
        add(former, flowOwner.server);
    if (ownerChangedLast)
        addMove();
    return candidateHolders;
}

std::vector<EntryVmId> Placement::formerOwners(TimePoint now, BackendServerId server, bool isFirst) const
{
    std::vector<EntryVmId> owners;
    auto found = state_.runtimes.find(server);
    if (found == state_.runtimes.end())
        return owners;
    auto add = [&](EntryVmId balancer) {
        const auto* peer = state_.ranking.findPeer(balancer);
        if (peer && peer->reachable && std::find(owners.begin(), owners.end(), balancer) == owners.end())
            owners.push_back(balancer);
    };
    const auto& runtime = found->second;
    bool isWithoutHistory = runtime.ownedWithoutHistorySince != TimePoint::min();
    bool isRecent = isWithoutHistory && now - runtime.ownedWithoutHistorySince < formerOwnerQueryWindow;
    if (isFirst ? isRecent : isWithoutHistory) {
        add(runtime.formerOwner);
        add(ranks(server).backup);
    }
    if (isFirst && !isRecent)
        return owners;
    for (auto holder : runtime.share.holders())
        add(holder);
    return owners;
}

BackendServerId Placement::likelyServer(
    const Configuration::Service& service, const FlowOwner& flowOwner, uint64_t flowHash) const
{
    auto move = state_.routing.buckets(service.id).lastMove(flowHash);
    if (!move)
        return flowOwner.server;
    const auto* from = state_.routing.findServer(move->from);
    if (!from || from->isOut())
        return flowOwner.server;
    // An owner that has not changed since the bucket moved has records of all flows opened later, so a flow without a
    // record is older than the move.
    return hasAllFlowsSince(move->at, flowOwner.server) || !flowOwner.server.isValid() ? move->from : flowOwner.server;
}

bool Placement::mustHaveEnded(
    const Configuration::Service& service, const FlowOwner& flowOwner, uint64_t flowHash) const
{
    auto move = state_.routing.buckets(service.id).lastMove(flowHash);
    if (!move)
        return false;
    const auto* from = state_.routing.findServer(move->from);
    return (!from || from->isOut()) && hasAllFlowsSince(move->at, flowOwner.server);
}

bool Placement::hasAllFlowsSince(TimePoint time, BackendServerId server) const
{
    auto runtime = state_.runtimes.find(server);
    return runtime != state_.runtimes.end() && runtime->second.tookOverAt < time
        && runtime->second.ownedWithoutHistorySince < time;
}

BackendServerId Placement::nextCandidate(
    const Configuration::Service& service, uint64_t flowHash, uint32_t rejectedGuesses) const
{
    struct Candidate {
        uint64_t score { 0 };
        BackendServerId server;
    };
    auto move = state_.routing.buckets(service.id).lastMove(flowHash);
    auto target = state_.routing.buckets(service.id).current().lookUp(flowHash);
    std::vector<Candidate> candidates;
    for (const auto& server : service.backendServers) {
        const auto* entry = state_.routing.findServer(server.id);
        if (!entry || entry->isOut())
            continue;
        bool isLikely = server.id == target || (move && server.id == move->from);
        candidates.push_back(
            { .score = isLikely ? UINT64_MAX : Base::mix(flowHash, server.id.value), .server = server.id });
    }
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.score > right.score; });
    return rejectedGuesses < candidates.size() ? candidates[rejectedGuesses].server : BackendServerId {};
}

EntryVmId Placement::exceptionCopyHolder(const Configuration::Service& service, uint64_t flowHash) const
{
    auto target = state_.routing.buckets(service.id).current().lookUp(flowHash);
    if (!target.isValid())
        return {};
    auto ranked = ranks(target);
    return ranked.owner == state_.options.self ? ranked.backup : ranked.owner;
}

}
