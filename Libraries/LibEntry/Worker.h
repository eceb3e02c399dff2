#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include <LibBase/Time.h>

namespace Entry {

/// A thread that can be asked to stop; a stop request ends its pauses.
class Worker {
public:
    Worker() = default;
    ~Worker() { stop(); }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    /// Starts the thread. body runs once and must return soon after isStopping() becomes true.
    void start(std::function<void()> body) { thread_ = std::thread(std::move(body)); }

    void requestStop()
    {
        {
            const std::scoped_lock lock(mutex_);
            stopping_.store(true);
        }
        condition_.notify_all();
    }

    void stop()
    {
        requestStop();
        if (thread_.joinable())
            thread_.join();
    }

    bool isStopping() const { return stopping_.load(std::memory_order_relaxed); }

    /// Ends the thread's current or next pause.
    void wake()
    {
        {
            const std::scoped_lock lock(mutex_);
            woken_ = true;
        }
        condition_.notify_all();
    }

    /// Called by the thread itself: waits for wake(), a stop request or the given time.
    void pause(Base::milliseconds atMost)
    {
        std::unique_lock lock(mutex_);
        condition_.wait_for(lock, atMost, [this] { return woken_ || stopping_.load(); });
        woken_ = false;
    }

private:
    std::thread thread_;
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    std::condition_variable condition_;
    bool woken_ { false };
};

}
