#include "EventLoop.h"

#include <algorithm>
#include <poll.h>

namespace StandIn {

static constexpr int maximumPollMilliseconds = 20;

static volatile std::sig_atomic_t stopSignalReceived = 0;

static void handleStopSignal(int) { stopSignalReceived = 1; }

EventLoop::EventLoop()
    : now_(std::chrono::steady_clock::now())
{
    std::signal(SIGTERM, handleStopSignal);
    std::signal(SIGINT, handleStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

void EventLoop::watch(int descriptor, std::function<void()> onReadable)
{
    watches_[descriptor] = std::move(onReadable);
    watchesChanged_ = true;
}

void EventLoop::unwatch(int descriptor)
{
    watches_.erase(descriptor);
    watchesChanged_ = true;
}

void EventLoop::after(Base::nanoseconds delay, std::function<void()> callback)
{
    timers_.push({ .due = now_ + delay, .order = nextOrder_++, .callback = std::move(callback) });
}

void EventLoop::every(Base::nanoseconds period, std::function<void()> callback)
{
    after(period, [this, period, callback = std::move(callback)]() mutable {
        callback();
        every(period, std::move(callback));
    });
}

int EventLoop::pollTimeoutMilliseconds() const
{
    if (timers_.empty())
        return maximumPollMilliseconds;
    const auto wait = std::chrono::ceil<Base::milliseconds>(timers_.top().due - now_).count();
    return static_cast<int>(std::clamp<int64_t>(wait, 0, maximumPollMilliseconds));
}

void EventLoop::runDueTimers()
{
    while (!timers_.empty() && timers_.top().due <= now_) {
        auto callback = std::move(const_cast<Timer&>(timers_.top()).callback);
        timers_.pop();
        callback();
    }
}

void EventLoop::run()
{
    std::vector<pollfd> descriptors;
    watchesChanged_ = true;
    stopped_ = false;
    while (!stopped_ && stopSignalReceived == 0) {
        if (watchesChanged_) {
            watchesChanged_ = false;
            descriptors.clear();
            for (const auto& [descriptor, callback] : watches_)
                descriptors.push_back({ .fd = descriptor, .events = POLLIN, .revents = 0 });
        }
        ::poll(descriptors.data(), descriptors.size(), pollTimeoutMilliseconds());
        now_ = std::chrono::steady_clock::now();
        for (const auto& entry : descriptors) {
            if ((entry.revents & (POLLIN | POLLHUP | POLLERR)) == 0)
                continue;
            // A callback may remove other watches, or its own.
            const auto found = watches_.find(entry.fd);
            if (found == watches_.end())
                continue;
            const auto callback = found->second;
            callback();
        }
        runDueTimers();
    }
}

}
