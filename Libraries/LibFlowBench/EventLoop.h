#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace FlowBench {

/// Runs callbacks in the order of their virtual times; callbacks due at the same time run in the order in which they
/// were scheduled.
class EventLoop {
public:
    using Callback = std::function<void()>;

    /// Virtual time of the current callback, or the end of the last run outside of callbacks.
    Base::TimePoint now() const { return now_; }
    /// Schedules a callback at now() + delay.
    void after(Base::nanoseconds delay, Callback);
    /// Runs a callback at every interval, first after one interval, until it returns false.
    void every(Base::nanoseconds interval, std::function<bool()>);
    /// Runs all callbacks due up to and including a time and sets now() to that time.
    void runUntil(Base::TimePoint);

private:
    struct Entry {
        Base::TimePoint at;
        uint64_t sequence { 0 };
        uint32_t slot { 0 };

        bool operator>(const Entry& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    void repeat(Base::nanoseconds interval, const std::function<bool()>&);

    Base::TimePoint now_ { Base::seconds(1000) };
    uint64_t nextSequence_ { 0 };
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue_;
    std::vector<Callback> callbacks_;
    std::vector<uint32_t> freeSlots_;
};

}
