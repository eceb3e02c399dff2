#include <LibSteering/Process/Readiness.h>

namespace Steering {

namespace {

    /// With several reachable backend servers, ten consecutive first packets are not all lost.
    constexpr uint32_t isolationThreshold = 10;
    /// Without callers there are no first packets that could detect a recovery. Becoming ready too early costs callers
    /// the 1.5 s that the fabric takes to react twice.
    constexpr Base::milliseconds isolationTimeout { 6000 };
    /// The first packets after a start have waited in the socket; some of their callers have timed out meanwhile. All
    /// peers have reported by the end of this time.
    constexpr Base::milliseconds startupGracePeriod { 1000 };
    constexpr uint32_t recoveryThreshold = 3;
    /// Reports sent before the isolation may still arrive during this time.
    constexpr Base::milliseconds delayedReportTimeout { 400 };

}

void Readiness::setStateComplete(Base::TimePoint now)
{
    if (!isStateComplete_)
        stateCompleteSince_ = now;
    isStateComplete_ = true;
}

void Readiness::recordTimeout(Base::TimePoint now, uint32_t consecutiveTimeouts)
{
    if (consecutiveTimeouts < isolationThreshold || now - stateCompleteSince_ < startupGracePeriod)
        return;
    responsesWhileIsolated_ = 0;
    if (!isIsolated(now))
        isolatedSince_ = now;
    isolatedUntil_ = now + isolationTimeout;
}

void Readiness::setOutnumbered(Base::TimePoint now, bool isOutnumbered)
{
    // Right after its start an entry VM has received reports of few others.
    isOutnumbered_ = isOutnumbered && isStateComplete_ && now - stateCompleteSince_ >= startupGracePeriod;
}

void Readiness::recordReportReceived(Base::TimePoint now)
{
    if (now - isolatedSince_ > delayedReportTimeout)
        isolatedUntil_ = {};
}

void Readiness::recordResponse()
{
    if (++responsesWhileIsolated_ >= recoveryThreshold)
        isolatedUntil_ = {};
}

}
