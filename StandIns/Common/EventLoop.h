#pragma once

#include <LibBase/Time.h>
#include <csignal>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace StandIn {

/// A single-threaded event loop for sockets and timers; stops on SIGTERM or SIGINT.
class EventLoop {
public:
    EventLoop();

    /// Calls the function whenever the descriptor is readable.
    void watch(int descriptor, std::function<void()> onReadable);
    /// Removes a watch. Call before closing the descriptor.
    void unwatch(int descriptor);
    /// Calls the function once, after the delay.
    void after(Base::nanoseconds delay, std::function<void()> callback);
    /// Calls the function periodically until the loop is destroyed; the first call comes after one period.
    void every(Base::nanoseconds period, std::function<void()> callback);
    /// Runs until SIGTERM, SIGINT or stop().
    void run();
    void stop() { stopped_ = true; }
    /// The loop's time, which is read once per iteration after poll().
    Base::TimePoint now() const { return now_; }

private:
    struct Timer {
        Base::TimePoint due;
        uint64_t order;
        std::function<void()> callback;
        bool operator>(const Timer& other) const { return due != other.due ? due > other.due : order > other.order; }
    };

    void runDueTimers();
    int pollTimeoutMilliseconds() const;

    std::map<int, std::function<void()>> watches_;
    bool watchesChanged_ { false };
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
    Base::TimePoint now_;
    uint64_t nextOrder_ { 0 };
    bool stopped_ { false };
};

}
