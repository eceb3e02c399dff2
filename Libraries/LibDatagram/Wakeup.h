#pragma once

#include <LibBase/Time.h>
#include <array>
#include <atomic>

namespace Datagram {

/// Lets a thread sleep until another has put something into one of its rings. Waking costs a system call only while the
/// thread sleeps.
class Wakeup {
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup&) = delete;
    Wakeup& operator=(const Wakeup&) = delete;

    /// Any thread, after it has pushed.
    void wake();

    /// Sockets that a thread may sleep on; negative ones are ignored.
    using Sockets = std::array<int, 2>;

    /// The owning thread: sleeps until woken, until a socket is readable, or for the given time. isIdle is asked once
    /// more, so that nothing pushed meanwhile is missed.
    template <typename IsIdle>
    void sleep(const Sockets& sockets, Base::milliseconds atMost, IsIdle&& isIdle)
    {
        sleeping_.store(true, std::memory_order_seq_cst);
        if (isIdle())
            wait(sockets, atMost);
        sleeping_.store(false, std::memory_order_relaxed);
    }

private:
    void wait(const Sockets&, Base::milliseconds atMost) const;

    std::atomic<bool> sleeping_ { false };
    int event_;
};

}
