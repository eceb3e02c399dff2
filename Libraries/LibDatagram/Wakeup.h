#pragma once

#include <LibBase/Time.h>
#include <array>
#include <atomic>

namespace Datagram {

/// Lets a thread sleep until another one pushes to one of its rings. Waking costs a system call only while the thread
/// is sleeping.
class Wakeup {
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup&) = delete;
    Wakeup& operator=(const Wakeup&) = delete;

    /// Wakes the owning thread. Call from any thread, after pushing.
    void wake();

    /// Sockets to poll while sleeping; negative descriptors are ignored.
    using Sockets = std::array<int, 2>;

    /// Sleeps until woken, until a socket is readable, or for the given time. Call from the owning thread. isIdle is
    /// checked after the thread is marked as sleeping, so that no concurrent push is missed.
    template <typename IsIdle>
    void sleep(const Sockets& sockets, Base::milliseconds timeout, IsIdle&& isIdle)
    {
        sleeping_.store(true, std::memory_order_seq_cst);
        if (isIdle())
            wait(sockets, timeout);
        sleeping_.store(false, std::memory_order_relaxed);
    }

private:
    void wait(const Sockets&, Base::milliseconds timeout) const;

    std::atomic<bool> sleeping_ { false };
    int event_;
};

}
