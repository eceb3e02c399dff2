#include <LibFlow/Process/OwnerRanking.h>
#include <algorithm>
#include <utility>

namespace Flow {

struct OwnerRanking::Candidate {
    uint64_t score { 0 };
    EntryVmId id;
    bool reachable { false };
};

void OwnerRanking::setPeers(const PeerView& view)
{
    peers_.clear();
    std::copy_if(view.peers.begin(), view.peers.end(), std::back_inserter(peers_),
        [this](const Peer& peer) { return peer.id != self_; });
    std::sort(peers_.begin(), peers_.end(), [](const Peer& left, const Peer& right) { return left.id < right.id; });
    regroup();
}

bool OwnerRanking::setLeaving(const Peer& peer)
{
    auto [entry, isNew] = leavingPeers_.try_emplace(peer.id, peer.incarnation);
    if (!isNew && entry->second == peer.incarnation)
        return false;
    entry->second = peer.incarnation;
    regroup();
    return true;
}

void OwnerRanking::beginLeaving()
{
    isLeaving_ = true;
    regroup();
}

bool OwnerRanking::canRank(const Peer& peer) const
{
    auto leaving = leavingPeers_.find(peer.id);
    return leaving == leavingPeers_.end() || leaving->second != peer.incarnation;
}

OwnerRanking::Domains OwnerRanking::groupByDomain() const
{
    Domains domains;
    if (!isLeaving_)
        domains[failureDomain_].push_back({ .id = self_, .reachable = true });
    for (const auto& peer : peers_) {
        if (canRank(peer))
            domains[peer.failureDomain].push_back({ .id = peer.id, .reachable = peer.reachable });
    }
    return domains;
}

void OwnerRanking::regroup()
{
    auto before = std::exchange(domains_, groupByDomain());
    auto isAltered = [&](const std::string& name) {
        auto old = before.find(name);
        auto current = domains_.find(name);
        // The ranks of a domain with fewer than two balancers are completed from all other domains.
        if (old == before.end() || current == domains_.end() || current->second.size() < 2)
            return true;
        return old->second != current->second;
    };
    std::map<std::string, bool> altered;
    for (const auto& [name, members] : domains_)
        altered[name] = isAltered(name);
    boost::unordered::erase_if(cachedRanks_, [&](const auto& entry) {
        auto found = altered.find(entry.second.failureDomain);
        return found == altered.end() || found->second;
    });
}

Ranks OwnerRanking::ranks(BackendServerId server, const std::string& failureDomain) const
{
    auto [cached, isNew] = cachedRanks_.try_emplace(server);
    if (isNew || cached->second.failureDomain != failureDomain)
        cached->second = { .ranks = compute(server, failureDomain), .failureDomain = failureDomain };
    return cached->second.ranks;
}

const Peer* OwnerRanking::findPeer(EntryVmId id) const
{
    auto found = std::lower_bound(
        peers_.begin(), peers_.end(), id, [](const Peer& peer, EntryVmId wanted) { return peer.id < wanted; });
    return found == peers_.end() || found->id != id ? nullptr : &*found;
}

bool OwnerRanking::hasUnreachable() const
{
    return std::any_of(peers_.begin(), peers_.end(), [](const Peer& peer) { return !peer.reachable; });
}

Ranks OwnerRanking::compute(BackendServerId server, const std::string& failureDomain) const
{
    Candidate best;
    Candidate next;
    auto consider = [&](EntryVmId id, bool reachable) {
        Candidate candidate { .score = Base::mix(server.value, id.value), .id = id, .reachable = reachable };
        if (!best.id.isValid() || candidate.score > best.score)
            std::swap(candidate, best);
        if (candidate.id.isValid() && (!next.id.isValid() || candidate.score > next.score))
            next = candidate;
    };
    auto considerAll = [&](bool ofDomain) {
        for (const auto& [name, members] : domains_) {
            if (ofDomain != (name == failureDomain))
                continue;
            for (const auto& member : members)
                consider(member.id, member.reachable);
        }
    };
    considerAll(true);
    auto owner = best;
    auto backup = next;
    // The only balancer of a domain is its owner whatever the scores of others, which only fill the missing ranks.
    if (!owner.id.isValid() || !backup.id.isValid()) {
        best = {};
        next = {};
        considerAll(false);
        backup = owner.id.isValid() ? best : next;
        owner = owner.id.isValid() ? owner : best;
    }
    best = owner;
    next = backup;
    Ranks ranks { .owner = best.id, .backup = next.id, .acting = {} };
    if (best.reachable)
        ranks.acting = best.id;
    else if (next.reachable)
        ranks.acting = next.id;
    return ranks;
}

}
