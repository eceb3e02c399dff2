#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>

namespace Base {

/// A bounded single-producer, single-consumer queue between two threads. If it is full, new elements are rejected and
/// counted.
template <typename T>
class Ring {
public:
    /// capacity: maximum number of elements.
    explicit Ring(std::size_t capacity)
        : queue_(capacity)
    {
    }

    /// Producer thread only. Returns false and counts a rejected element if the ring is full.
    bool tryPush(T value)
    {
        if (queue_.push(std::move(value)))
            return true;
        refused_.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Producer thread only. Pushes values from the first on while there is room and counts the rest as rejected.
    /// Returns the number of values pushed.
    std::size_t pushMany(const T* values, std::size_t count)
    {
        const std::size_t pushed = queue_.push(values, count);
        if (pushed < count)
            refused_.fetch_add(count - pushed, std::memory_order_relaxed);
        return pushed;
    }

    /// Consumer thread only. Removes up to count values and returns their number.
    std::size_t popMany(T* values, std::size_t count) { return queue_.pop(values, count); }

    /// Consumer thread only.
    bool isEmpty() const { return queue_.read_available() == 0; }

    /// Consumer thread only. Returns false if the ring is empty.
    bool tryPop(T& value) { return queue_.pop(value); }

    /// Number of elements rejected since creation. May be called from any thread.
    uint64_t refusedCount() const { return refused_.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<T> queue_;
    std::atomic<uint64_t> refused_ { 0 };
};

}
