#pragma once

#include <LibBase/Time.h>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace Log {

/// A bounded queue of log lines between the threads that write and the one that prints. Never waits on the writing
/// side: lines that do not fit are counted.
class LineQueue {
public:
    explicit LineQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// False when the queue is full; the line is counted as dropped.
    bool push(std::string line);
    /// All lines so far; waits for one for at most the given time.
    std::vector<std::string> takeAll(Base::milliseconds atMost);
    /// Waits until everything taken has also been printed, see finishPrinting(). False when that took too long.
    bool waitUntilPrinted(Base::milliseconds atMost);
    /// The printing thread: the lines taken last have been printed.
    void finishPrinting();
    /// Lines dropped since the last call.
    uint64_t takeDropped();

private:
    const std::size_t capacity_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> lines_;
    bool printing_ { false };
    uint64_t dropped_ { 0 };
};

}
