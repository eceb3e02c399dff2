#include <LibLog/LineRateLimiter.h>

#include <utility>

namespace Log {

bool LineRateLimiter::admit(Base::TimePoint now, const Event& event)
{
    if (event.linesPerSecond == 0)
        return true;
    const std::scoped_lock lock(mutex_);
    auto& window = windowsByEvent_[event.number];
    if (now - window.begin >= Base::seconds(1))
        window = { .begin = now };
    if (window.lines < event.linesPerSecond) {
        ++window.lines;
        return true;
    }
    ++suppressedByEvent_[event.number];
    return false;
}

std::unordered_map<uint32_t, uint64_t> LineRateLimiter::resetSuppressedCounts()
{
    const std::scoped_lock lock(mutex_);
    return std::exchange(suppressedByEvent_, {});
}

}
