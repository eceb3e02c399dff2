#pragma once

#include <LibFlow/Types.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <string>

namespace Flow {

/// The balancers responsible for one backend server.
struct Ranks {
    /// The owner, which admits new flows.
    EntryVmId owner;
    /// The backup, which holds a part of the limits and replaces a failed owner.
    EntryVmId backup;
    /// The first of the two that is reachable; invalid if neither is.
    EntryVmId acting;
};

/// Ranks the balancers of a backend server's failure domain by rendezvous hashing; balancers of other domains come
/// after them. Ranks are cached per backend server until a change among the balancers of its domain.
class OwnerRanking {
public:
    OwnerRanking(EntryVmId self, std::string failureDomain)
        : self_(self)
        , failureDomain_(std::move(failureDomain))
    {
        regroup();
    }

    /// Applies a peer view. This balancer counts as a reachable member even if the view does not contain it.
    void setPeers(const PeerView&);
    /// Excludes this balancer from all ranks in its own view.
    void beginLeaving();
    bool isLeaving() const { return isLeaving_; }
    /// Excludes a peer that announced that it is leaving from all ranks; it can still be queried. Returns false if this
    /// was known.
    bool setLeaving(const Peer&);

    /// Returns the ranks for a backend server in a failure domain.
    Ranks ranks(BackendServerId, const std::string& failureDomain) const;
    /// Returns the peer with an id, or nullptr; this balancer is not a peer.
    const Peer* findPeer(EntryVmId) const;
    /// Whether any peer in the view is unreachable.
    bool hasUnreachable() const;
    /// All other balancers in the view, sorted by id.
    const std::vector<Peer>& peers() const { return peers_; }

private:
    struct Candidate;
    struct CachedRanks {
        Ranks ranks;
        std::string failureDomain;
    };
    /// A balancer that takes part in the ranking.
    struct Ranked {
        EntryVmId id;
        bool reachable { false };

        bool operator==(const Ranked&) const = default;
    };
    using Domains = std::map<std::string, std::vector<Ranked>, std::less<>>;

    Ranks compute(BackendServerId, const std::string& failureDomain) const;
    bool canRank(const Peer&) const;
    Domains groupByDomain() const;
    /// Rebuilds the domain groups and removes the cached ranks that may have changed.
    void regroup();

    EntryVmId self_;
    std::string failureDomain_;
    bool isLeaving_ { false };
    std::vector<Peer> peers_;
    /// Leaving peers and their incarnations.
    std::map<EntryVmId, uint64_t> leavingPeers_;
    /// The balancers that take part in the ranking, including this one, by failure domain; each list is sorted by id.
    Domains domains_;
    mutable boost::unordered_flat_map<BackendServerId, CachedRanks, std::hash<BackendServerId>> cachedRanks_;
};

}
