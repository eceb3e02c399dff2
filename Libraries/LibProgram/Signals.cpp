#include <LibProgram/Signals.h>

#include <LibLog/Log.h>
#include <LibLog/ProgramEvents.h>
#include <csignal>
#include <ctime>

namespace Program {

namespace {

    sigset_t handledSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        return signals;
    }

    /// Blocks the signals before the initialisation of static objects, which takes longer than main() up to here.
    [[gnu::constructor(101)]] void blockSignalsAtStart() { Signals::block(); }

    void toggleDebug()
    {
        const bool enabled = !Log::isDebugEnabled();
        Log::setDebug(enabled);
        Log::write(Log::ProgramEvents::debugChanged, Log::Fields().add("enabled", enabled));
    }

}

void Signals::block()
{
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

Signals::Signals()
{
    block();
    std::signal(SIGPIPE, SIG_IGN);
}

bool Signals::waitForStop(Base::milliseconds atMost)
{
    const auto signals = handledSignals();
    const auto wholeSeconds = std::chrono::duration_cast<Base::seconds>(atMost);
    const timespec timeout { .tv_sec = wholeSeconds.count(),
        .tv_nsec = Base::nanoseconds(atMost - wholeSeconds).count() };
    const int signal = sigtimedwait(&signals, nullptr, &timeout);
    if (signal == SIGHUP && reload_)
        reload_();
    else if (signal == SIGHUP)
        toggleDebug();
    if ((signal == SIGTERM || signal == SIGINT) && !stopRequested_) {
        stopRequested_ = true;
        Log::write(Log::ProgramEvents::stopping);
    }
    return stopRequested_;
}

}
