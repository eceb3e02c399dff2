#include <LibEntry/StoreThread.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <platform/Names.h>

namespace Entry {

namespace {

    /// A watch may be cut while the store is well, so that one failure alone says nothing.
    constexpr uint32_t failuresUntilLost = 2;
    /// Calls are priced also when they are refused; configuration has to be in force within seconds of a return.
    constexpr Base::milliseconds firstPause { 100 };
    constexpr Base::milliseconds longestPause { 800 };

}

StoreThread::StoreThread(const EntrySettings& settings, BeliefFeed& feed, StoreCounters& counters)
    : settings_(settings)
    , feed_(feed)
    , counters_(counters)
    , client_({ .store = settings.store.endpoint, .timeout = settings.store.callTimeout })
    , random_(Base::hashText(settings.name))
{
}

void StoreThread::start()
{
    worker_.start([this] { run(); });
}

void StoreThread::run()
{
    while (!worker_.isStopping()) {
        if (follow() || worker_.isStopping())
            continue;
        const auto doublings = std::min<uint32_t>(failures_, 5);
        const auto pause = std::min(longestPause, firstPause * (1 << (doublings - 1)));
        // Half of it at random: entry VMs that lost the store together must not return together.
        const auto jitter = Base::milliseconds(random_.below(static_cast<uint64_t>(pause.count()) + 1) / 2);
        worker_.pause(pause / 2 + jitter);
    }
}

bool StoreThread::follow()
{
    const auto call = hasRead_ ? StoreCall::Watch : StoreCall::Read;
    const auto answer = hasRead_
        ? client_.watch(Platform::Names::keyPrefixAll, feed_.revision(), settings_.store.watchTime)
        : client_.readAll(Platform::Names::keyPrefixAll);
    counters_.count(call, answer.outcome);
    if (answer.outcome == Platform::StoreOutcome::HistoryGone) {
        Log::write(Events::historyGone, Log::Fields().add("revision", feed_.revision()));
        hasRead_ = false;
        return true;
    }
    if (worker_.isStopping())
        return true;
    if (!answer.isOk()) {
        noteFailure(answer.outcome, answer.detail);
        return false;
    }
    failures_ = 0;
    feed_.setStoreReachable(true, "answered");
    feed_.apply(answer.value, "store");
    hasRead_ = true;
    return true;
}

void StoreThread::noteFailure(Platform::StoreOutcome outcome, const std::string& detail)
{
    ++failures_;
    if (failures_ >= failuresUntilLost)
        feed_.setStoreReachable(false, std::string(Platform::toString(outcome)) + ": " + detail);
}

}
