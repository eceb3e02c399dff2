#include <LibSteering/Process/Readiness.h>

namespace Steering {

namespace {

    /// With several backend servers in reach, ten first packets in a row do not all get lost.
    constexpr uint32_t unansweredUntilIsolated = 10;
    /// Without callers there are no first packets to learn from. An attempt that comes too early costs its callers the
    /// second and a half that the fabric takes to react twice.
    constexpr Base::milliseconds isolationTime { 6000 };
    /// The first packets after a start waited in the socket; some of their callers have given up meanwhile. Reports of
    /// all peers have come by then.
    constexpr Base::milliseconds settlingTime { 1000 };
    constexpr uint32_t answeredUntilBack = 3;
    /// What was sent before the isolation may still arrive.
    constexpr Base::milliseconds heardGrace { 400 };

}

void Readiness::setComplete(Base::TimePoint now)
{
    if (!complete_)
        completeSince_ = now;
    complete_ = true;
}

void Readiness::noteUnanswered(Base::TimePoint now, uint32_t inRow)
{
    if (inRow < unansweredUntilIsolated || now - completeSince_ < settlingTime)
        return;
    answeredWhileIsolated_ = 0;
    if (!isIsolated(now))
        isolatedSince_ = now;
    isolatedUntil_ = now + isolationTime;
}

void Readiness::setOutnumbered(Base::TimePoint now, bool isOutnumbered)
{
    // Right after its start an entry VM has heard of few others.
    isOutnumbered_ = isOutnumbered && complete_ && now - completeSince_ >= settlingTime;
}

void Readiness::noteHeard(Base::TimePoint now)
{
    if (now - isolatedSince_ > heardGrace)
        isolatedUntil_ = {};
}

void Readiness::noteAnswered()
{
    if (++answeredWhileIsolated_ >= answeredUntilBack)
        isolatedUntil_ = {};
}

}
