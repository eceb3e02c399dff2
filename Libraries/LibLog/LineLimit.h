#pragma once

#include <LibBase/Time.h>
#include <LibLog/Event.h>
#include <mutex>
#include <unordered_map>

namespace Log {

/// Keeps each event within its lines a second, and counts what it leaves out. Any thread.
class LineLimit {
public:
    bool admit(Base::TimePoint now, const Event&);
    /// Lines left out since the last call, by event number.
    std::unordered_map<uint32_t, uint64_t> takeSuppressed();

private:
    struct Window {
        Base::TimePoint begin {};
        uint32_t lines { 0 };
    };

    std::mutex mutex_;
    std::unordered_map<uint32_t, Window> windows_;
    std::unordered_map<uint32_t, uint64_t> suppressed_;
};

}
