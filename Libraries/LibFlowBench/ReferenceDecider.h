#pragma once

#include <LibFlow/FlowDecider.h>
#include <LibFlow/Process/FlowStatistics.h>
#include <LibFlowBench/ReferenceTable.h>
#include <deque>
#include <memory>

namespace FlowBench {

/// Reference for tests: all balancers decide from one shared table that is always current, without control messages. An
/// invariant that it violates under a fault cannot be kept by any real decider.
class ReferenceDecider final : public Flow::FlowDecider {
public:
    /// All deciders of one bench share one table.
    ReferenceDecider(const Options&, std::shared_ptr<ReferenceTable>);

    Base::ErrorOr<void> setConfiguration(Flow::TimePoint now, Configuration::SnapshotPointer) override;
    Base::ErrorOr<void> setPeers(Flow::TimePoint, const Flow::PeerView&) override { return {}; }
    void handlePacket(Flow::TimePoint now, const Flow::PacketEvent&, Flow::Actions&) override;
    Base::ErrorOr<void> handlePeerMessage(
        Flow::TimePoint, Flow::EntryVmId, std::span<const std::byte>, Flow::Actions&) override
    {
        return {};
    }
    Base::ErrorOr<void> handleReport(Flow::TimePoint now, const Flow::BackendServerReport&) override;
    void handleTick(Flow::TimePoint now, Flow::Actions&) override;
    void beginLeaving(Flow::TimePoint, Flow::Actions&) override { isLeaving_ = true; }
    bool hasLeft() const override { return isLeaving_; }
    std::vector<Flow::BackendServerId> backendServersToProbe() const override;
    const Flow::FlowStatistics& statistics() const override { return statistics_; }

private:
    void handleFromCaller(Flow::TimePoint now, const Flow::PacketEvent&, Flow::Actions&);
    void handleFromBackendServer(Flow::TimePoint now, const Flow::PacketEvent&, Flow::Actions&);
    void holdForSlot(Flow::TimePoint now, const Flow::PacketEvent&, Flow::Actions&);
    void forward(Flow::TimePoint now, const Flow::PacketEvent&, ReferenceTable::Entry&, Flow::Actions&);

    struct HeldPacket {
        Flow::PacketEvent event;
        Flow::TimePoint since {};
    };

    std::shared_ptr<ReferenceTable> table_;
    /// Requests of established flows that wait for a free slot.
    std::deque<HeldPacket> packetsWaitingForSlot_;
    Configuration::SnapshotPointer snapshot_;
    bool isLeaving_ { false };
    Flow::FlowStatistics statistics_;
};

}
