#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <algorithm>

namespace Control {

/// Exponential back-off up to a maximum delay. Each delay is shortened at random by up to half, so that many nodes do
/// not retry at the same time.
class Backoff {
public:
    Backoff(Base::milliseconds initialDelay, Base::milliseconds maximumDelay)
        : initialDelay_(initialDelay)
        , maximumDelay_(maximumDelay)
        , nextDelay_(initialDelay)
    {
    }

    Base::nanoseconds nextDelay(Base::Random& random)
    {
        const Base::nanoseconds fullDelay = nextDelay_;
        nextDelay_ = std::min(maximumDelay_, nextDelay_ * 2);
        return fullDelay / 2
            + Base::nanoseconds(static_cast<int64_t>(static_cast<double>(fullDelay.count()) / 2 * random.unit()));
    }

    /// Returns to the initial delay; called after a success.
    void reset() { nextDelay_ = initialDelay_; }

private:
    Base::milliseconds initialDelay_;
    Base::milliseconds maximumDelay_;
    Base::milliseconds nextDelay_;
};

}
