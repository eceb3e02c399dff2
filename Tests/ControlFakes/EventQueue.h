#pragma once

#include <LibBase/Time.h>
#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace ControlFakes {

/// Event loop in virtual time. Events run in the order of their times; events with equal times run in the order of
/// insertion.
class EventQueue {
public:
    using Action = std::function<void()>;

    /// Schedules an action. An action for a time in the past is scheduled for the current time.
    void at(Base::TimePoint time, Action action)
    {
        events_.push_back({ .time = std::max(time, now_), .sequence = ++sequence_, .action = std::move(action) });
        std::push_heap(events_.begin(), events_.end(), isLater);
    }

    /// Runs all events up to and including the given time.
    void runUntil(Base::TimePoint end)
    {
        while (!events_.empty() && events_.front().time <= end) {
            std::pop_heap(events_.begin(), events_.end(), isLater);
            const auto event = std::move(events_.back());
            events_.pop_back();
            now_ = event.time;
            event.action();
        }
        now_ = end;
    }

    Base::TimePoint now() const { return now_; }

private:
    struct Event {
        Base::TimePoint time;
        uint64_t sequence { 0 };
        Action action;
    };

    static bool isLater(const Event& first, const Event& second)
    {
        return first.time != second.time ? first.time > second.time : first.sequence > second.sequence;
    }

    std::vector<Event> events_;
    uint64_t sequence_ { 0 };
    Base::TimePoint now_ { Base::seconds(1000) };
};

}
