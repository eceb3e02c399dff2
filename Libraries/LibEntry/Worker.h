#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include <LibBase/Time.h>

namespace Entry {

/// One thread with one duty, which can be told to stop and wakes from its pauses then.
class Worker {
public:
    Worker() = default;
    ~Worker() { stop(); }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    /// Starts the thread; duty runs once and returns soon after isStopping().
    void start(std::function<void()> duty) { thread_ = std::thread(std::move(duty)); }

    void askToStop()
    {
        {
            const std::scoped_lock lock(mutex_);
            stopping_.store(true);
        }
        changed_.notify_all();
    }

    void stop()
    {
        askToStop();
        if (thread_.joinable())
            thread_.join();
    }

    bool isStopping() const { return stopping_.load(std::memory_order_relaxed); }

    /// Ends a pause of the thread early.
    void wake()
    {
        {
            const std::scoped_lock lock(mutex_);
            woken_ = true;
        }
        changed_.notify_all();
    }

    /// The thread itself: waits for wake(), a stop, or the given time.
    void pause(Base::milliseconds atMost)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, atMost, [this] { return woken_ || stopping_.load(); });
        woken_ = false;
    }

private:
    std::thread thread_;
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    std::condition_variable changed_;
    bool woken_ { false };
};

}
