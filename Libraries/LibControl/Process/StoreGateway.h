#pragma once

#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <LibControl/ControlNode.h>
#include <LibControl/Process/CircuitBreaker.h>
#include <LibControl/Process/ControlStatistics.h>
#include <LibControl/Process/TokenBucket.h>
#include <LibStore/Store.h>
#include <functional>
#include <map>
#include <vector>

namespace Control {

/// The health of the store as observed by this node.
enum class StoreHealth : uint8_t {
    Healthy,
    /// The store responds slowly: timeouts are longer and fewer calls are made.
    Slow,
    /// The store does not respond.
    Unreachable,
};

/// Makes all of a node's calls to the platform's store. Applies a call budget, a circuit breaker and timeouts, and
/// distinguishes a slow store from an unreachable one. Each call completes exactly once: with the store's response, or
/// as Unknown after its timeout.
class StoreGateway {
public:
    using Handler = std::function<void(Base::TimePoint, const Store::Answer&)>;

    struct Options {
        uint64_t seed { 1 };
        double callsPerSecond { 10 };
        double burst { 20 };
        Base::milliseconds responseTimeout { 1500 };
        /// Limit on the timeout while the store is slow.
        Base::milliseconds maximumResponseTimeout { 6000 };
        /// Mean response time above which the store is slow.
        Base::milliseconds slowResponseThreshold { 400 };
        std::function<void(StoreHealth)> onHealthChanged;
    };

    StoreGateway(const Options&, ControlStatistics&);

    /// Makes a call. Returns false, without calling the handler, if the budget or the circuit breaker rejects it.
    bool tryCall(Base::TimePoint now, Store::Request, Handler);
    /// Handles the store's response. Returns Stale if the call is no longer pending.
    Base::ErrorOr<void> handleResponse(Base::TimePoint now, Store::RequestId, const Store::Answer&);
    /// Completes calls that have timed out.
    void tick(Base::TimePoint now);
    /// Returns the calls to make, in order, and clears the list.
    std::vector<CallStore> takeOutgoingCalls() { return std::exchange(outgoingCalls_, {}); }
    StoreHealth health() const { return health_; }
    /// Number of calls without a response.
    std::size_t pendingCount() const { return pendingCalls_.size(); }

private:
    struct PendingCall {
        Base::TimePoint sentAt;
        Base::TimePoint deadline;
        bool isWatch { false };
        Handler handler;
    };

    void recordLatency(Base::nanoseconds);
    void setHealth(StoreHealth);

    Options options_;
    ControlStatistics& statistics_;
    TokenBucket callBudget_;
    CircuitBreaker breaker_;
    Base::nanoseconds responseTimeout_;
    Base::nanoseconds meanLatency_ { 0 };
    StoreHealth health_ { StoreHealth::Healthy };
    Store::RequestId lastRequestId_ { 0 };
    std::map<Store::RequestId, PendingCall> pendingCalls_;
    std::vector<CallStore> outgoingCalls_;
};

}
