#pragma once

#include <LibBase/Time.h>
#include <functional>

namespace Program {

/// The signals of a daemon. SIGTERM and SIGINT ask for a graceful stop; SIGHUP calls a hook, or turns debug events on
/// or off where there is none; SIGPIPE is ignored. The thread that waits is the main thread; all other threads have
/// these signals blocked.
class Signals {
public:
    /// Blocks the signals in the calling thread; threads started later inherit that.
    Signals();

    /// What SIGHUP does.
    void setReload(std::function<void()> reload) { reload_ = std::move(reload); }

    /// Waits for a signal for at most the given time. True once a stop has been asked for.
    bool waitForStop(Base::milliseconds atMost);

private:
    std::function<void()> reload_;
    bool stopRequested_ { false };
};

}
