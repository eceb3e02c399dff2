#include <LibLog/LineQueue.h>

#include <utility>

namespace Log {

bool LineQueue::push(std::string line)
{
    bool wasEmpty = false;
    {
        const std::scoped_lock lock(mutex_);
        if (lines_.size() >= capacity_) {
            ++dropped_;
            return false;
        }
        wasEmpty = lines_.empty();
        lines_.push_back(std::move(line));
    }
    if (wasEmpty)
        condition_.notify_all();
    return true;
}

std::vector<std::string> LineQueue::popAll(Base::milliseconds atMost)
{
    std::unique_lock lock(mutex_);
    condition_.wait_for(lock, atMost, [this] { return !lines_.empty(); });
    printing_ = !lines_.empty();
    return std::exchange(lines_, {});
}

bool LineQueue::waitUntilPrinted(Base::milliseconds atMost)
{
    std::unique_lock lock(mutex_);
    return condition_.wait_for(lock, atMost, [this] { return lines_.empty() && !printing_; });
}

void LineQueue::markPrinted()
{
    {
        const std::scoped_lock lock(mutex_);
        printing_ = false;
    }
    condition_.notify_all();
}

uint64_t LineQueue::resetDroppedCount()
{
    const std::scoped_lock lock(mutex_);
    return std::exchange(dropped_, 0);
}

}
