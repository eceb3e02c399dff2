#pragma once

#include <LibBase/Random.h>
#include <LibFlowBench/Deployment.h>
#include <LibFlowBench/EventLoop.h>
#include <functional>
#include <set>
#include <utility>

namespace FlowBench {

/// Faults that the network injects into packets and control messages; `loss`, `duplication`, `reordering` and
/// `controlLoss` are probabilities.
struct NetworkFaults {
    double loss { 0 };
    double duplication { 0 };
    /// Probability that a packet is delayed further by up to reorderDelay.
    double reordering { 0 };
    Base::milliseconds reorderDelay { 5 };
    double controlLoss { 0 };
    /// Upper limit of the random additional delay of a control message.
    Base::milliseconds controlDelay { 0 };
};

/// Simulates the network between failure domains and callers: delay, loss, duplication, reordering and partitions.
class Network {
public:
    /// Index of a failure domain, or `callers` for the network of the callers.
    using Place = std::size_t;
    static constexpr Place callers = ~std::size_t { 0 };

    Network(EventLoop&, const Deployment&, uint64_t seed);

    /// Delivers a packet after the delay between the two places, unless it is lost; may deliver it twice.
    void sendPacket(Place from, Place to, const EventLoop::Callback& deliver);
    /// Delivers a control message after the delay between the two places, unless it is lost.
    void sendControl(Place from, Place to, const EventLoop::Callback& deliver);

    void setFaults(const NetworkFaults& faults) { faults_ = faults; }
    /// Drops everything sent from one place to another, in this direction only, until heal().
    void cut(Place from, Place to) { cuts_.insert({ from, to }); }
    /// Partitions one failure domain from all others in both directions; callers can still reach it.
    void isolate(Place domain);
    /// Ends all partitions.
    void heal() { cuts_.clear(); }
    bool isCut(Place from, Place to) const { return cuts_.contains({ from, to }); }
    bool hasCuts() const { return !cuts_.empty(); }

private:
    Base::nanoseconds delay(Place from, Place to);

    EventLoop& loop_;
    const Deployment& deployment_;
    Base::Random random_;
    NetworkFaults faults_;
    std::set<std::pair<Place, Place>> cuts_;
};

}
