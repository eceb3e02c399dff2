#pragma once

#include <LibBase/Time.h>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace Log {

/// A bounded queue of log lines from the writing threads to the printing thread. Writers never wait: lines that do not
/// fit are dropped and counted.
class LineQueue {
public:
    explicit LineQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Returns false and counts the line as dropped if the queue is full.
    bool push(std::string line);
    /// Removes and returns all lines; waits at most the given time for the first one.
    std::vector<std::string> popAll(Base::milliseconds atMost);
    /// Waits until the queue is empty and markPrinted() was called. Returns false if that takes longer than the given
    /// time.
    bool waitUntilPrinted(Base::milliseconds atMost);
    /// Called by the printing thread after it has printed the lines of the last popAll().
    void markPrinted();
    /// Returns the number of lines dropped since the last call.
    uint64_t resetDroppedCount();

private:
    const std::size_t capacity_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::vector<std::string> lines_;
    bool printing_ { false };
    uint64_t dropped_ { 0 };
};

}
