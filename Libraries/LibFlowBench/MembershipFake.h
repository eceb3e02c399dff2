#pragma once

#include <LibBase/Random.h>
#include <LibFlow/Types.h>
#include <LibFlowBench/EventLoop.h>
#include <functional>
#include <vector>

namespace FlowBench {

/// Simulates the membership protocol: delivers changes of the set of balancers to each balancer, each after a random
/// delay.
class MembershipFake {
public:
    struct Options {
        uint64_t seed { 1 };
        /// Limits of the random delay after which a balancer receives a change.
        Base::milliseconds minimumDelay { 100 };
        Base::milliseconds maximumDelay { 800 };
        /// Time from the first suspicion of a balancer to its removal.
        Base::milliseconds removalDelay { 3000 };
        /// Delivers a view to the balancer with this index.
        std::function<void(std::size_t viewer, const Flow::PeerView&)> deliver;
    };

    MembershipFake(EventLoop&, std::size_t balancers, Options);

    /// A balancer's process has started. It receives a view of all balancers that have not been removed, at once.
    void announceStarted(std::size_t balancer, const Flow::Peer&);
    /// A balancer has stopped responding; it is removed after Options::removalDelay unless it responds before.
    void announceUnresponsive(std::size_t balancer);
    /// A balancer responds again.
    void announceResponsive(std::size_t balancer);
    /// A balancer has shut down gracefully or has not responded for Options::removalDelay.
    void announceRemoved(std::size_t balancer);
    /// One balancer (the viewer) can no longer reach another, or can reach it again; this removes neither of them.
    void announceReachability(std::size_t viewer, std::size_t balancer, bool reachable);
    /// Delivers a balancer's whole view again, after the usual random delay.
    void redeliverView(std::size_t viewer);

private:
    struct BalancerState {
        bool present { false };
        uint64_t responsivenessVersion { 0 };
        bool isUnresponsive { false };
        Flow::Peer peer;
    };

    Base::nanoseconds randomDelay();
    void scheduleChange(std::size_t viewer, std::size_t balancer, std::function<void(std::vector<Flow::Peer>&)>);
    void scheduleChangeForAll(std::size_t balancer, const std::function<void(std::vector<Flow::Peer>&)>&);
    void deliverView(std::size_t viewer);

    EventLoop& loop_;
    Options options_;
    Base::Random random_;
    std::vector<BalancerState> balancers_;
    std::vector<Flow::PeerView> views_;
};

}
