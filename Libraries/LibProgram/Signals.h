#pragma once

#include <LibBase/Time.h>
#include <functional>

namespace Program {

/// Handles the signals of a daemon. SIGTERM and SIGINT request a graceful stop; SIGHUP calls the reload hook, or
/// toggles debug events if there is none; SIGPIPE is ignored. The main thread waits for signals; they are blocked in
/// all threads.
class Signals {
public:
    Signals();

    /// Blocks the signals in the calling thread and in all threads it starts later; they stay pending until
    /// waitForStop(). Called before anything else, since a SIGHUP would end a process that is still starting.
    static void block();

    /// Sets the hook that SIGHUP calls.
    void setReload(std::function<void()> reload) { reload_ = std::move(reload); }

    /// Waits for a signal at most the given time. Returns true once a stop was requested.
    bool waitForStop(Base::milliseconds atMost);

private:
    std::function<void()> reload_;
    bool stopRequested_ { false };
};

}
