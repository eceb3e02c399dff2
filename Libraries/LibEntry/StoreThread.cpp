#include <LibEntry/StoreThread.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <LibSteering/Process/DisseminationTimes.h>
#include <LibSteering/Process/InitialReaders.h>
#include <algorithm>
#include <platform/Names.h>
#include <platform/RecordDecoder.h>

namespace Entry {

namespace {

    /// Retries back off because rejected calls are charged as well.
    constexpr Base::milliseconds initialBackoff { 100 };
    constexpr Base::milliseconds idleCheckInterval { 5000 };
    /// The entry VMs that read all records do so within a second, also on narrow links.
    constexpr Base::milliseconds initialPeerTimeout { 1200 };
    constexpr Base::milliseconds synchronizationCheckInterval { 50 };

    std::vector<Steering::InitialReaders::EntryVm> listedEntryVms(
        const Mirror::ChangeBatch& page, const std::string& failureDomain)
    {
        std::vector<Steering::InitialReaders::EntryVm> listed;
        for (const auto& record : page.records) {
            if (!record.key.starts_with(Platform::Names::entryVmPrefix))
                continue;
            const auto event = Base::capture([&] { return Platform::decodeRecord(record); });
            if (!event.isOk() || !*event.value)
                continue;
            const auto* peer = std::get_if<Steering::PeerListed>(&**event.value);
            if (peer != nullptr && peer->failureDomain == failureDomain)
                listed.push_back({ .id = peer->peer, .linkMegabits = peer->linkMegabits });
        }
        return listed;
    }

}

StoreThread::StoreThread(
    const EntrySettings& settings, StateFeed& feed, CatchUpThread& catchUp, StoreCounters& counters)
    : settings_(settings)
    , feed_(feed)
    , catchUp_(catchUp)
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

Steering::StoreView StoreThread::view(Base::TimePoint now) const
{
    const std::scoped_lock lock(responsivenessMutex_);
    return responsiveness_.view(now);
}

void StoreThread::run()
{
    while (!worker_.isStopping()) {
        if (feed_.isSynchronized() && !watching_.load() && !isBehindPages()) {
            pauseWatching();
            continue;
        }
        if (readOrWatch() || worker_.isStopping())
            continue;
        const auto doublings = std::min<uint32_t>(responsiveness_.consecutiveFailures(), 5);
        const auto pause
            = std::min(Steering::DisseminationTimes::longestCallPause, initialBackoff * (1 << (doublings - 1)));
        // Half of the back-off is random, so that entry VMs that lost the store together do not reconnect together.
        const auto jitter = Base::milliseconds(random_.below(static_cast<uint64_t>(pause.count()) + 1) / 2);
        worker_.pause(pause / 2 + jitter);
    }
}

void StoreThread::pauseWatching()
{
    partialSnapshot_.reset();
    const auto previousView = view(std::chrono::steady_clock::now());
    {
        const std::scoped_lock lock(responsivenessMutex_);
        responsiveness_.stopWatching();
    }
    if (previousView != Steering::StoreView::NotWatching) {
        client_.close();
        Log::write(Events::storeWatchEnded, Log::Fields().add("revision", feed_.revision()));
    }
    worker_.pause(idleCheckInterval);
}

bool StoreThread::readOrWatch()
{
    if (!feed_.isSynchronized() || isHistoryGone_ || isBehindPages())
        return readNextPage();
    // A peer may have supplied the complete state first.
    partialSnapshot_.reset();
    return watch();
}

void StoreThread::assumeKnownEraIfMissing(Mirror::ChangeBatch& batch) const
{
    if (batch.era == 0)
        batch.era = feed_.position().era;
}

bool StoreThread::addPage(Mirror::ChangeBatch&& page)
{
    if (!partialSnapshot_) {
        partialSnapshot_ = std::move(page);
        return true;
    }
    if (page.era != partialSnapshot_->era) {
        partialSnapshot_.reset();
        return false;
    }
    partialSnapshot_->hasMore = page.hasMore;
    std::ranges::move(page.records, std::back_inserter(partialSnapshot_->records));
    return true;
}

bool StoreThread::readNextPage()
{
    beginRead();
    const auto after = partialSnapshot_ ? partialSnapshot_->records.back().key : std::string();
    auto page = client_.readPage(Platform::Names::allKeysPrefix, after);
    counters_.count(StoreCall::Read, page.outcome);
    if (!page.isOk()) {
        handleCallFailure(page.outcome, page.detail);
        return false;
    }
    assumeKnownEraIfMissing(page.value);
    const bool isFirstPage = !partialSnapshot_;
    if (!addPage(std::move(page.value))) {
        handleCallFailure(Platform::StoreOutcome::HistoryGone, "the store's era changed between two pages");
        return false;
    }
    if (!partialSnapshot_->hasMore)
        return applySnapshot();
    handleCallSuccess();
    if (isFirstPage && !feed_.isSynchronized())
        waitForPeers(*partialSnapshot_);
    return true;
}

bool StoreThread::applySnapshot()
{
    // The batch carries the first page's revision; later changes are received again through the watch.
    const auto snapshot = std::move(*partialSnapshot_);
    partialSnapshot_.reset();
    const auto known = feed_.position();
    const bool isOutdated = snapshot.era < watchedEra_;
    if (isOutdated || (!feed_.apply(snapshot, "store") && feed_.position() == known)) {
        handleCallFailure(Platform::StoreOutcome::HistoryGone, "the store's state is older than the known one");
        return false;
    }
    handleCallSuccess();
    isHistoryGone_ = false;
    return true;
}

void StoreThread::waitForPeers(const Mirror::ChangeBatch& firstPage)
{
    const Steering::InitialReaders readers(
        { .id = settings_.identity(), .linkMegabits = static_cast<uint64_t>(settings_.limits.linkMegabits) });
    const auto selection = readers.select(listedEntryVms(firstPage, settings_.failureDomain));
    if (selection.isReader)
        return;
    Log::write(Events::storeReadDeferred, Log::Fields().add("peers", selection.peers.size()));
    catchUp_.askInitially(selection.peers);
    const auto deadline = std::chrono::steady_clock::now() + initialPeerTimeout;
    const auto isCurrent = [&] { return feed_.isSynchronized() && !isBehindPages(); };
    while (!isCurrent() && !worker_.isStopping() && std::chrono::steady_clock::now() < deadline)
        worker_.pause(synchronizationCheckInterval);
}

bool StoreThread::isBehindPages() const { return partialSnapshot_ && feed_.position() < partialSnapshot_->end(); }

void StoreThread::beginRead()
{
    // Peers don't rely on an entry VM that starts, and many read at once then.
    if (!feed_.isSynchronized())
        return;
    const std::scoped_lock lock(responsivenessMutex_);
    responsiveness_.beginRead(std::chrono::steady_clock::now());
}

Base::milliseconds StoreThread::beginWatch()
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(responsivenessMutex_);
    const auto wait = responsiveness_.nextWatchTimeout(now, settings_.store.watchTimeout);
    responsiveness_.beginWatch(now, wait);
    return wait;
}

bool StoreThread::watch()
{
    const auto wait = beginWatch();
    auto response = client_.watch(Platform::Names::allKeysPrefix, feed_.revision(), wait);
    counters_.count(StoreCall::Watch, response.outcome);
    if (response.outcome == Platform::StoreOutcome::HistoryGone) {
        handleCallSuccess();
        Log::write(Events::historyGone, Log::Fields().add("revision", feed_.revision()).add("era", response.era));
        isHistoryGone_ = true;
        return true;
    }
    if (!response.isOk()) {
        handleCallFailure(response.outcome, response.detail);
        return false;
    }
    assumeKnownEraIfMissing(response.value);
    const auto knownEra = feed_.position().era;
    if (response.value.era < knownEra) {
        handleCallFailure(Platform::StoreOutcome::Malformed, "the store's era is lower than the known one");
        return false;
    }
    handleCallSuccess();
    if (response.value.era > knownEra) {
        // The changes follow on a revision that the store has given out again.
        watchedEra_ = response.value.era;
        isHistoryGone_ = true;
        return true;
    }
    feed_.apply(response.value, "store");
    if (!response.value.records.empty())
        worker_.pause(Steering::DisseminationTimes::changeBatchingInterval);
    return true;
}

void StoreThread::handleCallSuccess()
{
    const auto now = std::chrono::steady_clock::now();
    bool isFirstAnswer = false;
    {
        const std::scoped_lock lock(responsivenessMutex_);
        isFirstAnswer = !responsiveness_.isAnswered();
        responsiveness_.handleAnswer(now);
    }
    if (isFirstAnswer)
        Log::write(Events::storeWatchStarted, Log::Fields().add("revision", feed_.revision()));
    feed_.setStoreReachable(true, "answered");
}

void StoreThread::handleCallFailure(Platform::StoreOutcome outcome, const std::string& detail)
{
    if (worker_.isStopping())
        return;
    const auto now = std::chrono::steady_clock::now();
    bool isAway = false;
    {
        const std::scoped_lock lock(responsivenessMutex_);
        responsiveness_.handleFailure(now);
        isAway = responsiveness_.isAway();
    }
    if (isAway)
        feed_.setStoreReachable(false, std::string(Platform::toString(outcome)) + ": " + detail);
}

}
