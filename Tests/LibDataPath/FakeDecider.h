#pragma once

#include <LibFlow/FlowDecider.h>
#include <LibFlow/Process/FlowStatistics.h>
#include <deque>
#include <functional>

namespace Tests {

/// Records packet events and takes the actions that the test defines.
class FakeDecider : public Flow::FlowDecider {
public:
    Base::ErrorOr<void> setConfiguration(Base::TimePoint, Configuration::SnapshotPointer) override { return {}; }
    Base::ErrorOr<void> setPeers(Base::TimePoint, const Flow::PeerView&) override { return {}; }
    void handlePacket(Base::TimePoint, const Flow::PacketEvent& event, Flow::Actions& actions) override
    {
        events.push_back(event);
        decide(event, actions);
    }
    Base::ErrorOr<void> handlePeerMessage(
        Base::TimePoint, Base::EntryVmId, std::span<const std::byte>, Flow::Actions&) override
    {
        return {};
    }
    Base::ErrorOr<void> handleReport(Base::TimePoint, const Flow::BackendServerReport&) override { return {}; }
    void handleTick(Base::TimePoint, Flow::Actions& actions) override
    {
        for (const auto& action : tickActions)
            actions.push_back(action);
        tickActions.clear();
    }
    void beginLeaving(Base::TimePoint, Flow::Actions&) override { leaving = true; }
    bool hasLeft() const override { return leaving; }
    std::vector<Base::BackendServerId> backendServersToProbe() const override { return {}; }
    const Flow::FlowStatistics& statistics() const override { return statistics_; }

    std::function<void(const Flow::PacketEvent&, Flow::Actions&)> decide;
    std::vector<Flow::PacketEvent> events;
    Flow::Actions tickActions;
    bool leaving { false };

private:
    Flow::FlowStatistics statistics_;
};

}
