#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace Operator {

/// A bounded multi-producer, single-consumer queue. The consumer thread also blocks here between events.
template <typename Command>
class CommandQueue {
public:
    explicit CommandQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Returns false if the queue is full or closed; the command is then not moved from.
    bool tryPush(Command& command)
    {
        const std::lock_guard guard(lock_);
        if (isClosed_ || commands_.size() >= capacity_)
            return false;
        commands_.push_back(std::move(command));
        wakeCondition_.notify_one();
        return true;
    }

    /// Wakes the consumer thread for an event that does not come through this queue.
    void wake()
    {
        const std::lock_guard guard(lock_);
        isWakeRequested_ = true;
        wakeCondition_.notify_one();
    }

    /// Makes all later pushes fail and wakes the consumer thread.
    void close()
    {
        const std::lock_guard guard(lock_);
        isClosed_ = true;
        wakeCondition_.notify_one();
    }

    /// Blocks until a command is queued, wake() or close() is called, or the timeout expires. Returns all queued
    /// commands.
    template <typename Duration>
    std::vector<Command> waitAndDrain(Duration timeout)
    {
        std::unique_lock lock(lock_);
        wakeCondition_.wait_for(lock, timeout, [&] { return isWakeRequested_ || isClosed_ || !commands_.empty(); });
        isWakeRequested_ = false;
        std::vector<Command> drained;
        for (auto& command : commands_)
            drained.push_back(std::move(command));
        commands_.clear();
        return drained;
    }

    bool isClosed()
    {
        const std::lock_guard guard(lock_);
        return isClosed_;
    }

private:
    std::size_t capacity_;
    std::mutex lock_;
    std::condition_variable wakeCondition_;
    std::deque<Command> commands_;
    bool isWakeRequested_ { false };
    bool isClosed_ { false };
};

}
