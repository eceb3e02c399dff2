#pragma once

#include <LibFlow/Process/PeerLink.h>
#include <LibFlow/Process/Placement.h>
#include <map>

namespace Flow {

/// Sweeps all flow records about twice a second: removes expired ones, releases slots whose deadline has passed,
/// abandons flows whose backend server was taken out, and copies exceptions (flows on another backend server than the
/// bucket table gives) to another balancer, within the control budget.
class FlowMaintenance {
public:
    FlowMaintenance(DeciderState& state, const Placement& placement, PeerLink& link)
        : state_(state)
        , placement_(placement)
        , link_(link)
    {
    }

    void handleTick(TimePoint now, ActionWriter&);
    /// Applies copies of exceptions from another balancer. Returns Malformed without changing any state.
    Base::ErrorOr<void> handleMessage(TimePoint now, const PeerMessage&);
    /// Speeds up one sweep after peers were lost, so that the copies they held are replaced soon.
    void expediteSweep();
    /// Starts a full sweep; the balancer has left once a sweep finds every exception copied.
    void beginLeaving(TimePoint now);
    /// Whether such a sweep has completed.
    bool hasCopiedAllExceptions() const { return hasCopiedAllExceptions_; }

private:
    /// Flows of one service address on one backend server.
    struct Group {
        Base::Ipv4Endpoint service;
        bool isUdp { false };
        BackendServerId server;

        auto operator<=>(const Group&) const = default;
    };
    using Batch = std::map<Group, std::vector<Base::Ipv4Endpoint>>;

    void maintain(TimePoint now, FlowRecord&);
    void abandon(TimePoint now, FlowRecord&);
    bool isExpired(TimePoint now, const FlowRecord&, const Configuration::PortClass&) const;
    void releaseOverdueSlot(TimePoint now, FlowRecord&, const Configuration::PortClass&);
    void copyIfException(TimePoint now, FlowRecord&, const AddressIndex::Entry&);
    void sendBatches(ActionWriter&);
    void endSweep(TimePoint now);
    uint16_t digestOf(EntryVmId) const;
    void applyExceptionCopy(TimePoint now, const Group&, const Base::Ipv4Endpoint& caller);

    DeciderState& state_;
    const Placement& placement_;
    PeerLink& link_;
    std::map<EntryVmId, Batch> batches_;
    std::size_t batchedBytes_ { 0 };
    TimePoint lastTick_ { TimePoint::min() };
    std::size_t visitedInSweep_ { 0 };
    double pendingVisits_ { 0 };
    Base::milliseconds copyDelay_ { 250 };
    uint64_t exceptions_ { 0 };
    uint64_t uncopied_ { 0 };
    bool isBudgetExceeded_ { false };
    bool isLeaving_ { false };
    bool isExpedited_ { false };
    bool sweepFoundUncopied_ { false };
    bool hasCopiedAllExceptions_ { false };
};

}
