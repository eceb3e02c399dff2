#include <LibFlowBench/EventLoop.h>

namespace FlowBench {

void EventLoop::after(Base::nanoseconds delay, Callback callback)
{
    if (freeSlots_.empty()) {
        freeSlots_.push_back(static_cast<uint32_t>(callbacks_.size()));
        callbacks_.emplace_back();
    }
    const auto slot = freeSlots_.back();
    freeSlots_.pop_back();
    callbacks_[slot] = std::move(callback);
    queue_.push({ .at = now_ + delay, .sequence = nextSequence_++, .slot = slot });
}

void EventLoop::every(Base::nanoseconds interval, std::function<bool()> callback)
{
    after(interval, [this, interval, callback = std::move(callback)] { repeat(interval, callback); });
}

void EventLoop::repeat(Base::nanoseconds interval, const std::function<bool()>& callback)
{
    if (callback())
        every(interval, callback);
}

void EventLoop::runUntil(Base::TimePoint end)
{
    while (!queue_.empty() && queue_.top().at <= end) {
        const auto entry = queue_.top();
        queue_.pop();
        now_ = entry.at;
        const auto callback = std::move(callbacks_[entry.slot]);
        freeSlots_.push_back(entry.slot);
        callback();
    }
    now_ = end;
}

}
