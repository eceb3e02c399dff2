#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibControl/Process/Backoff.h>
#include <cstdint>

namespace Control {

/// Blocks calls to a failing callee. After several consecutive failures only one trial call is allowed per back-off
/// delay, until one succeeds.
class CircuitBreaker {
public:
    struct Options {
        uint64_t seed { 1 };
        /// Number of consecutive failures that open the breaker.
        uint32_t failureThreshold { 3 };
        Base::milliseconds initialRetryDelay { 500 };
        Base::milliseconds maximumRetryDelay { 4000 };
    };

    explicit CircuitBreaker(const Options& options)
        : options_(options)
        , random_(options.seed)
        , backoff_(options.initialRetryDelay, options.maximumRetryDelay)
    {
    }

    /// Returns whether a call may be made now. While the breaker is open, an allowed call is the trial call.
    bool tryAllowCall(Base::TimePoint now);
    void recordSuccess();
    void recordFailure(Base::TimePoint now);
    bool isOpen() const { return consecutiveFailures_ >= options_.failureThreshold; }

private:
    Options options_;
    Base::Random random_;
    Backoff backoff_;
    uint32_t consecutiveFailures_ { 0 };
    Base::TimePoint nextTrialCallAt_ {};
};

}
