#pragma once

#include <LibFlow/FlowDecider.h>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace FlowBench {

/// Baseline for comparisons with the flow decider: a hash of the flow modulo the number of healthy backend servers,
/// without flow records, flow owners or exceptions, and with limits that each balancer enforces on its own.
class NaiveDecider final : public Flow::FlowDecider {
public:
    static Base::ErrorOr<std::unique_ptr<Flow::FlowDecider>> create(const Options&);

    Base::ErrorOr<void> setConfiguration(Flow::TimePoint now, Configuration::SnapshotPointer) override;
    Base::ErrorOr<void> setPeers(Flow::TimePoint, const Flow::PeerView&) override { return {}; }
    void handlePacket(Flow::TimePoint now, const Flow::PacketEvent&, Flow::Actions&) override;
    Base::ErrorOr<void> handlePeerMessage(
        Flow::TimePoint now, Flow::EntryVmId sender, std::span<const std::byte>, Flow::Actions&) override;
    Base::ErrorOr<void> handleReport(Flow::TimePoint now, const Flow::BackendServerReport&) override;
    void handleTick(Flow::TimePoint, Flow::Actions&) override { }
    void beginLeaving(Flow::TimePoint, Flow::Actions&) override { isLeaving_ = true; }
    bool hasLeft() const override { return isLeaving_; }
    std::vector<Flow::BackendServerId> backendServersToProbe() const override;
    const Flow::FlowStatistics& statistics() const override;

private:
    struct Target {
        Flow::BackendServerId id;
        uint32_t connections { 0 };
    };
    struct LiveTargets {
        std::vector<Target> targets;
        std::vector<Flow::BackendServerId> all;
    };

    explicit NaiveDecider(const Options&);
    void forward(const Flow::PacketEvent&, const LiveTargets&, Flow::Actions&);
    void recordConnectionEnd(const Flow::PacketEvent&);

    Options options_;
    bool isLeaving_ { false };
    Configuration::SnapshotPointer snapshot_;
    std::unordered_map<Base::Ipv4Address, LiveTargets> targets_;
    std::map<Flow::BackendServerId, bool> healthy_;
    /// Connections whose opening, but not yet their end, this balancer has observed.
    std::map<Flow::BackendServerId, uint32_t> connections_;
};

}
