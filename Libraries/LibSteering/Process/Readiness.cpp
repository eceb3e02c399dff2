#include <LibSteering/Process/Readiness.h>

namespace Steering {

namespace {

    /// With several backend servers in reach, ten first packets in a row do not all get lost.
    constexpr uint32_t unansweredUntilIsolated = 10;
    /// Without callers there are no first packets to learn from. An attempt that comes too early costs its callers the
    /// second and a half that the fabric takes to react twice.
    constexpr Base::milliseconds isolationTime { 6000 };
    constexpr uint32_t answeredUntilBack = 3;
    /// What was sent before the isolation may still arrive.
    constexpr Base::milliseconds heardGrace { 400 };

}

void Readiness::noteUnanswered(Base::TimePoint now, uint32_t inRow)
{
    if (inRow < unansweredUntilIsolated)
        return;
    answeredWhileIsolated_ = 0;
    if (!isIsolated(now))
        isolatedSince_ = now;
    isolatedUntil_ = now + isolationTime;
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
