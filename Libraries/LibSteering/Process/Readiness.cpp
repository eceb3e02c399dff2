#include <LibSteering/Process/Readiness.h>

namespace Steering {

namespace {

    /// With several backend servers in reach, ten first packets in a row do not all get lost.
    constexpr uint32_t unansweredUntilIsolated = 10;
    /// Longer than the fabric takes to react (two checks, half a second apart), so that readiness does not flap.
    constexpr Base::milliseconds isolationTime { 2500 };
    constexpr uint32_t answeredUntilBack = 3;

}

void Readiness::noteUnanswered(Base::TimePoint now, uint32_t inRow)
{
    answeredWhileIsolated_ = 0;
    if (inRow >= unansweredUntilIsolated)
        isolatedUntil_ = now + isolationTime;
}

void Readiness::noteAnswered()
{
    if (++answeredWhileIsolated_ >= answeredUntilBack)
        isolatedUntil_ = {};
}

}
