#pragma once

#include <LibFlow/FlowDecider.h>
#include <LibFlow/Process/CallerPath.h>
#include <LibFlow/Process/FlowMaintenance.h>
#include <LibFlow/Process/LimitExchange.h>
#include <LibFlow/Process/LoadExchange.h>
#include <LibFlow/Process/ReturnPath.h>

namespace Flow {

/// Implements FlowDecider: dispatches events to the components that handle them.
class Decider final : public FlowDecider {
public:
    explicit Decider(const Options&);

    Base::ErrorOr<void> setConfiguration(TimePoint now, Configuration::SnapshotPointer) override;
    Base::ErrorOr<void> setPeers(TimePoint now, const PeerView&) override;
    void prefetch(std::span<const PacketEvent>) const override;
    void handlePacket(TimePoint now, const PacketEvent&, Actions&) override;
    Base::ErrorOr<void> handlePeerMessage(
        TimePoint now, EntryVmId sender, std::span<const std::byte>, Actions&) override;
    Base::ErrorOr<void> handleReport(TimePoint now, const BackendServerReport&) override;
    void handleTick(TimePoint now, Actions&) override;
    void beginLeaving(TimePoint now, Actions&) override;
    bool hasLeft() const override;
    std::vector<BackendServerId> backendServersToProbe() const override;
    const FlowStatistics& statistics() const override { return state_.statistics; }

private:
    Base::ErrorOr<void> dispatch(TimePoint now, EntryVmId sender, std::span<const std::byte>, ActionWriter&);
    /// Forwards a packet to another balancer, because this one has no configuration or peer view yet.
    void handOverWhileNotReady(const PacketEvent&, ActionWriter&);
    /// Announces to all peers, at a fixed interval, that this balancer is leaving.
    void announceLeaving(TimePoint now, ActionWriter&);
    BackendServerGauges gauges(BackendServerId) const;

    DeciderState state_;
    Placement placement_;
    LoadView loadView_;
    PeerLink link_;
    Admission admission_;
    FirstPacketHandler firstPacketHandler_;
    CallerPath callerPath_;
    ReturnPath returnPath_;
    LimitExchange limitExchange_;
    LoadExchange loadExchange_;
    FlowMaintenance maintenance_;
    uint64_t viewVersion_ { 0 };
    TimePoint lastTick_ { TimePoint::min() };
    TimePoint nextLeavingAnnouncementAt_ { TimePoint::min() };
    bool mustHandOverQueue_ { false };
    TimePoint leavingSince_ { TimePoint::min() };
};

}
