#pragma once

#include <LibFlow/Process/PeerLink.h>
#include <LibFlow/Process/Placement.h>

namespace Flow {

/// Coordinates the use of a backend server's limits between balancers: the owner claims, its backup grants, and
/// balancers that still hold flows from before a change of owner report them to the owner.
class LimitExchange {
public:
    LimitExchange(DeciderState& state, const Placement& placement, PeerLink& link)
        : state_(state)
        , placement_(placement)
        , link_(link)
    {
    }

    /// Assigns the roles anew after a change of the configuration or the peer view. lost: peers that have failed for
    /// certain or restarted without state.
    void updateRoles(TimePoint now, const std::vector<EntryVmId>& lost);
    void handleTick(TimePoint now, ActionWriter&);
    /// Returns Malformed without changing any state.
    Base::ErrorOr<void> handleMessage(TimePoint now, EntryVmId sender, const PeerMessage&, ActionWriter&);

private:
    struct Entry {
        BackendServerId server;
        Usage usage;
        double warmth { 1 };
    };

    void updateRole(TimePoint now, BackendServerId, const ServerEntry&, const std::vector<EntryVmId>& lost);
    void sendClaims(TimePoint now, ActionWriter&);
    void sendHoldings(TimePoint now, ActionWriter&);
    void handleClaim(TimePoint now, EntryVmId sender, uint64_t sentAt, const std::vector<Entry>&, ActionWriter&);
    void handleGrant(TimePoint now, EntryVmId sender, uint64_t sentAt, const std::vector<Entry>&);
    void handleHolding(TimePoint now, EntryVmId sender, const std::vector<Entry>&);
    Entry makeEntry(TimePoint now, BackendServerId, Usage) const;
    static void append(std::vector<uint64_t>&, const Entry&);
    static Base::ErrorOr<std::vector<Entry>> parse(const PeerMessage&);

    DeciderState& state_;
    const Placement& placement_;
    PeerLink& link_;
    TimePoint nextClaimAt_ { TimePoint::min() };
    TimePoint nextHoldingReportAt_ { TimePoint::min() };
    boost::unordered_flat_map<BackendServerId, Ranks, std::hash<BackendServerId>> lastRanks_;
    bool isFirstUpdate_ { true };
};

}
