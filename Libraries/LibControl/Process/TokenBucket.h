#pragma once

#include <LibBase/Time.h>
#include <algorithm>
#include <cstdint>
#include <optional>

namespace Control {

/// A budget that refills at a constant rate, such as bytes to send or calls to make.
class TokenBucket {
public:
    /// perSecond: refill rate. burst: maximum that can accumulate.
    TokenBucket(double perSecond, double burst)
        : perSecond_(perSecond)
        , burst_(burst)
        , available_(burst)
    {
    }

    /// Refills the bucket up to the given time; an earlier time has no effect.
    void refill(Base::TimePoint now)
    {
        if (lastRefillAt_ && now > *lastRefillAt_)
            available_ = std::min(burst_, available_ + perSecond_ * Base::toSeconds(now - *lastRefillAt_));
        if (!lastRefillAt_ || now > *lastRefillAt_)
            lastRefillAt_ = now;
    }

    /// Consumes the amount if more than `reserve` is available before. The amount itself may overdraw the bucket, so
    /// that a message larger than the burst is only delayed.
    bool tryConsume(double amount, double reserve = 0)
    {
        if (available_ <= reserve)
            return false;
        available_ -= amount;
        return true;
    }

    /// Consumes the amount in any case; the bucket may be overdrawn.
    void consume(double amount) { available_ -= amount; }

    double available() const { return available_; }
    double burst() const { return burst_; }

private:
    double perSecond_;
    double burst_;
    double available_;
    std::optional<Base::TimePoint> lastRefillAt_;
};

}
