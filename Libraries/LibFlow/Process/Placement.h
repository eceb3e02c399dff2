#pragma once

#include <LibFlow/Process/DeciderState.h>
#include <optional>

namespace Flow {

/// Determines which balancer owns a flow, and which others may have a record of it, from the configuration, the peer
/// view and the recorded changes of owners.
class Placement {
public:
    /// The backend server of a flow by the bucket table, and the balancer that decides on the flow.
    struct FlowOwner {
        /// The bucket's backend server; invalid if no backend server of the service accepts new flows.
        BackendServerId server;
        /// Its acting owner; invalid if neither owner nor backup is reachable.
        EntryVmId balancer;
    };

    /// A balancer that may have a record of a flow that is unknown to its owner.
    struct CandidateHolder {
        EntryVmId balancer;
        /// The backend server of the flow in that case.
        BackendServerId server;
    };

    explicit Placement(const DeciderState& state)
        : state_(state)
    {
    }

    /// Returns the ranks for a backend server; all invalid if it is not configured.
    Ranks ranks(BackendServerId) const;
    EntryVmId actingOwner(BackendServerId server) const { return ranks(server).acting; }
    bool isOwnedHere(BackendServerId server) const { return actingOwner(server) == state_.options.self; }

    /// Returns the owner of a flow: its bucket's backend server and that server's acting owner. If neither owner nor
    /// backup of that server is reachable, the flow hash is mixed again until a reachable one is found.
    FlowOwner findOwner(const Configuration::Service&, uint64_t flowHash) const;

    /// Returns the balancers that the owner queries, in this order, before it decides on a flow without a record.
    /// isFirst: the packet may open a flow.
    std::vector<CandidateHolder> candidateHolders(
        TimePoint now, const AddressIndex::Entry&, const FlowOwner&, uint64_t flowHash, bool isFirst) const;
    /// Returns the balancers that may still hold flows of a backend server owned by this one. isFirst: the packet may
    /// open a flow, so that only a recent change of owner matters.
    std::vector<EntryVmId> formerOwners(TimePoint now, BackendServerId, bool isFirst) const;
    /// Returns the most likely backend server of a mid-flow packet without a record; invalid if there is none.
    BackendServerId likelyServer(const Configuration::Service&, const FlowOwner&, uint64_t flowHash) const;
    /// Whether the flow of a mid-flow packet without a record must have been on a backend server that was taken out.
    bool mustHaveEnded(const Configuration::Service&, const FlowOwner&, uint64_t flowHash) const;
    /// Returns the next backend server to guess after `rejectedGuesses` others have reset the flow; invalid if all were
    /// tried.
    BackendServerId nextCandidate(const Configuration::Service&, uint64_t flowHash, uint32_t rejectedGuesses) const;
    /// Returns the balancer that holds the copy of an exception: the highest ranked one of the bucket's backend server
    /// other than this balancer.
    EntryVmId exceptionCopyHolder(const Configuration::Service&, uint64_t flowHash) const;

private:
    bool hasAllFlowsSince(TimePoint, BackendServerId) const;

    const DeciderState& state_;
};

}
