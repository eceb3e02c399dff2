#pragma once

#include <LibControl/ControlNode.h>
#include <LibControl/Process/ControlStatistics.h>
#include <LibFlow/Process/FlowStatistics.h>
#include <LibPeer/NodeStatus.h>
#include <LibPeer/PeerTransport.h>
#include <mutex>

namespace Balancer {

/// Copies of the state of the decide thread and the control thread, up to about a second old, for metrics and status
/// responses. Thread-safe.
class SharedState {
public:
    /// State published by the control thread.
    struct ControlView {
        Control::ControlStatistics statistics;
        Peer::TransportStatistics transport;
        Base::Revision revision;
        Control::Evidence evidence { Control::Evidence::None };
        Base::nanoseconds evidenceAge { 0 };
        std::size_t members { 0 };
        std::size_t reachableMembers { 0 };
        uint64_t storeCallsRefused { 0 };
    };

    /// State published by the decide thread.
    struct FlowView {
        Flow::FlowStatistics statistics;
        std::vector<Base::BackendServerId> serversToProbe;
    };

    void setControl(const ControlView& view)
    {
        const std::lock_guard lock(mutex_);
        control_ = view;
    }
    ControlView control() const
    {
        const std::lock_guard lock(mutex_);
        return control_;
    }
    void setFlow(FlowView view)
    {
        const std::lock_guard lock(mutex_);
        flow_ = std::move(view);
    }
    FlowView flow() const
    {
        const std::lock_guard lock(mutex_);
        return flow_;
    }

private:
    mutable std::mutex mutex_;
    ControlView control_;
    FlowView flow_;
};

}
