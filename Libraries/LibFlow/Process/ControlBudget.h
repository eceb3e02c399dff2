#pragma once

#include <LibBase/Time.h>
#include <algorithm>
#include <cstdint>

namespace Flow {

/// Token bucket for control bytes, with a capacity of 1/4 s of the rate. Mandatory messages may overdraw it; messages
/// that can wait are held back until the deficit is repaid.
class ControlBudget {
public:
    explicit ControlBudget(uint32_t bytesPerSecond)
        : rate_(bytesPerSecond)
    {
    }

    /// Adds the tokens for the time since the last call.
    void refill(Base::TimePoint now)
    {
        if (lastRefillAt_ != Base::TimePoint::min())
            tokens_ = std::min(tokens_ + rate_ * Base::toSeconds(now - lastRefillAt_), rate_ / burstDivisor);
        lastRefillAt_ = now;
    }
    /// Subtracts the size of a sent message.
    void consume(std::size_t bytes) { tokens_ -= static_cast<double>(bytes); }
    /// Whether there are enough tokens to send a message that can wait.
    bool allows(std::size_t bytes) const { return tokens_ >= static_cast<double>(bytes); }

private:
    static constexpr double burstDivisor = 4;

    double rate_;
    double tokens_ { 0 };
    Base::TimePoint lastRefillAt_ { Base::TimePoint::min() };
};

}
