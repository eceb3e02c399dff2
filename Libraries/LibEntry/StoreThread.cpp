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
    constexpr Base::milliseconds waitAfterFailure { 200 };
    constexpr Base::milliseconds restTime { 5000 };
    constexpr Base::milliseconds gatherTime { 250 };

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

void StoreThread::setWatching(bool isWatching)
{
    if (watching_.exchange(isWatching) != isWatching)
        worker_.wake();
}

void StoreThread::run()
{
    while (!worker_.isStopping()) {
        if (feed_.isSynchronized() && !watching_.load()) {
            rest();
            continue;
        }
        if (follow() || worker_.isStopping())
            continue;
        const auto doublings = std::min<uint32_t>(failures_, 5);
        const auto pause = std::min(longestPause, firstPause * (1 << (doublings - 1)));
        // Half of it at random: entry VMs that lost the store together must not return together.
        const auto jitter = Base::milliseconds(random_.below(static_cast<uint64_t>(pause.count()) + 1) / 2);
        worker_.pause(pause / 2 + jitter);
    }
}

void StoreThread::rest()
{
    partial_.reset();
    if (view_.exchange(Steering::StoreView::NotWatching) != Steering::StoreView::NotWatching) {
        client_.close();
        Log::write(Events::watchEnded, Log::Fields().add("revision", feed_.revision()));
    }
    worker_.pause(restTime);
}

bool StoreThread::follow()
{
    if (!feed_.isSynchronized() || isHistoryGone_)
        return readNextPage();
    // A peer was quicker.
    partial_.reset();
    return watch();
}

bool StoreThread::readNextPage()
{
    const auto after = partial_ ? partial_->records.back().key : std::string();
    auto page = client_.readPage(Platform::Names::keyPrefixAll, after);
    counters_.count(StoreCall::Read, page.outcome);
    if (!page.isOk()) {
        noteFailure(page.outcome, page.detail);
        return false;
    }
    noteSuccess();
    const bool hasMore = page.value.hasMore;
    if (!partial_)
        partial_ = std::move(page.value);
    else
        std::ranges::move(page.value.records, std::back_inserter(partial_->records));
    if (hasMore)
        return true;
    // The first page's revision counts: what changed since comes again through the watch.
    partial_->hasMore = false;
    feed_.apply(*partial_, "store");
    partial_.reset();
    isHistoryGone_ = false;
    return true;
}

bool StoreThread::watch()
{
    // After a failure, a call that the store holds back tells nothing for long.
    const auto wait = failures_ > 0 ? waitAfterFailure : settings_.store.watchTime;
    const auto answer = client_.watch(Platform::Names::keyPrefixAll, feed_.revision(), wait);
    counters_.count(StoreCall::Watch, answer.outcome);
    if (answer.outcome == Platform::StoreOutcome::HistoryGone) {
        Log::write(Events::historyGone, Log::Fields().add("revision", feed_.revision()));
        isHistoryGone_ = true;
        return true;
    }
    if (!answer.isOk()) {
        noteFailure(answer.outcome, answer.detail);
        return false;
    }
    noteSuccess();
    feed_.apply(answer.value, "store");
    // Changes come in series; a call for each of them would cost more than the little time.
    if (!answer.value.records.empty())
        worker_.pause(gatherTime);
    return true;
}

void StoreThread::noteSuccess()
{
    failures_ = 0;
    if (view_.exchange(Steering::StoreView::Answers) == Steering::StoreView::NotWatching)
        Log::write(Events::watchBegun, Log::Fields().add("revision", feed_.revision()));
    feed_.setStoreReachable(true, "answered");
}

void StoreThread::noteFailure(Platform::StoreOutcome outcome, const std::string& detail)
{
    if (worker_.isStopping())
        return;
    ++failures_;
    if (failures_ < failuresUntilLost)
        return;
    view_.store(Steering::StoreView::Silent);
    feed_.setStoreReachable(false, std::string(Platform::toString(outcome)) + ": " + detail);
}

}
