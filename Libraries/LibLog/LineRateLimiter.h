#pragma once

#include <LibBase/Time.h>
#include <LibLog/Event.h>
#include <mutex>
#include <unordered_map>

namespace Log {

/// Enforces each event's linesPerSecond and counts the suppressed lines. Thread-safe.
class LineRateLimiter {
public:
    bool admit(Base::TimePoint now, const Event&);
    /// Returns the number of lines suppressed since the last call, by event number.
    std::unordered_map<uint32_t, uint64_t> resetSuppressedCounts();

private:
    struct Window {
        Base::TimePoint begin {};
        uint32_t lines { 0 };
    };

    std::mutex mutex_;
    std::unordered_map<uint32_t, Window> windowsByEvent_;
    std::unordered_map<uint32_t, uint64_t> suppressedByEvent_;
};

}
