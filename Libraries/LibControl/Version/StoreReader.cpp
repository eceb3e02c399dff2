#include <LibControl/Version/StoreReader.h>

namespace Control {

using Base::TimePoint;
using Store::Answer;
using Store::Status;

namespace {

    /// Timeout after which a watch is renewed, which bounds the delay caused by a lost notification.
    constexpr Base::milliseconds watchTimeout { 3000 };
    /// Delay after a call that failed or was rejected.
    constexpr Base::milliseconds retryDelay { 500 };
    /// Delay before a store that is behind or conflicts is read again.
    constexpr Base::milliseconds inconsistentStoreRetryDelay { 3000 };
    /// Interval at which the store is compared with the configuration in force.
    constexpr Base::milliseconds comparisonInterval { 30'000 };

    bool hasValue(const Answer& answer) { return answer.status == Status::Ok && answer.version != 0; }

}

StoreReader::StoreReader(StoreGateway& store, const ChangeLog& log, Hooks hooks)
    : store_(store)
    , log_(log)
    , hooks_(std::move(hooks))
{
}

void StoreReader::callStore(TimePoint now, Store::Request request, StoreGateway::Handler handler)
{
    isCallPending_ = store_.tryCall(
        now, std::move(request), [this, handler = std::move(handler)](TimePoint at, const Answer& answer) {
            isCallPending_ = false;
            if (answer.status == Status::Unknown || answer.status == Status::Unavailable) {
                restart(at);
                return;
            }
            handler(at, answer);
        });
    if (!isCallPending_)
        nextCallAt_ = now + retryDelay;
}

void StoreReader::restart(TimePoint now)
{
    step_ = Step::Comparing;
    nextCallAt_ = now + retryDelay;
}

void StoreReader::tick(TimePoint now, bool isWatcher)
{
    if (!isWatcher) {
        step_ = Step::Comparing;
        return;
    }
    if (isCallPending_ || now < nextCallAt_)
        return;
    if (step_ == Step::WatchingChanges && now >= nextComparisonAt_)
        step_ = Step::Comparing;
    switch (step_) {
    case Step::Comparing:
        compareNewest(now);
        break;
    case Step::ReadingManifest:
        readManifest(now);
        break;
    case Step::ReadingParts:
        readPart(now);
        break;
    case Step::WatchingChanges:
        watchNextChange(now);
        break;
    }
}

void StoreReader::compareNewest(TimePoint now)
{
    const auto newest = log_.newest();
    if (!newest.isValid()) {
        readManifest(now);
        return;
    }
    callStore(now, Store::Get { .key = Configuration::changeKey(newest) },
        [this, newest](TimePoint at, const Answer& answer) { handleComparison(at, newest, answer); });
}

void StoreReader::handleComparison(TimePoint now, Revision revision, const Answer& answer)
{
    if (!hasValue(answer)) {
        readManifest(now);
        return;
    }
    const auto* ownChange = log_.find(revision);
    if (ownChange && *ownChange != answer.value) {
        step_ = Step::Comparing;
        nextCallAt_ = now + inconsistentStoreRetryDelay;
        hooks_.onHistoryDiffers();
        return;
    }
    step_ = Step::WatchingChanges;
    nextComparisonAt_ = now + comparisonInterval;
    isStoreBehindReported_ = false;
    watchNextChange(now);
}

void StoreReader::readManifest(TimePoint now)
{
    step_ = Step::ReadingManifest;
    callStore(now, Store::Get { .key = Configuration::snapshotManifestKey() },
        [this, newest = log_.newest()](TimePoint at, const Answer& answer) { handleManifest(at, newest, answer); });
}

void StoreReader::handleManifest(TimePoint now, Revision newestWhenSent, const Answer& answer)
{
    if (log_.newest() != newestWhenSent) {
        step_ = Step::Comparing;
        return;
    }
    const auto manifest = hasValue(answer) ? Base::capture([&] { return Configuration::decodeManifest(answer.value); })
                                           : Base::Outcome<Configuration::SnapshotManifest> {};
    const auto stored = manifest.isOk() ? manifest.value->revision : Revision {};
    if (stored < log_.newest()) {
        reportStoreBehind(now);
        return;
    }
    if (stored == log_.newest()) {
        step_ = Step::WatchingChanges;
        nextComparisonAt_ = now + comparisonInterval;
        isStoreBehindReported_ = false;
        watchNextChange(now);
        return;
    }
    step_ = Step::ReadingParts;
    manifest_ = *manifest.value;
    parts_.clear();
    readPart(now);
}

void StoreReader::reportStoreBehind(TimePoint now)
{
    step_ = Step::Comparing;
    nextCallAt_ = now + inconsistentStoreRetryDelay;
    if (!std::exchange(isStoreBehindReported_, true))
        hooks_.onStoreBehind();
}

void StoreReader::readPart(TimePoint now)
{
    callStore(now,
        Store::Get { .key = Configuration::snapshotPartKey(manifest_.revision, static_cast<uint32_t>(parts_.size())) },
        [this](TimePoint at, const Answer& answer) { handlePart(at, answer); });
}

void StoreReader::handlePart(TimePoint now, const Answer& answer)
{
    if (!hasValue(answer)) {
        restart(now);
        return;
    }
    parts_.push_back(answer.value);
    if (parts_.size() < manifest_.partCount) {
        readPart(now);
        return;
    }
    const auto snapshot = Base::capture([&] { return Configuration::decodeSnapshot(parts_); });
    parts_.clear();
    restart(now);
    if (!snapshot.isOk())
        return;
    nextCallAt_ = now;
    hooks_.onSnapshot(now, std::make_shared<const Configuration::Snapshot>(*snapshot.value));
}

void StoreReader::watchNextChange(TimePoint now)
{
    const auto next = Revision { log_.newest().value + 1 };
    callStore(now, Store::Watch { .key = Configuration::changeKey(next), .known = 0, .timeout = watchTimeout },
        [this, next](TimePoint at, const Answer& answer) { handleNextChange(at, next, answer); });
}

void StoreReader::handleNextChange(TimePoint now, Revision next, const Answer& answer)
{
    if (hasValue(answer)) {
        const bool isInForce = hooks_.onChange(now, answer.value);
        nextCallAt_ = isInForce ? now : now + inconsistentStoreRetryDelay;
        if (isInForce && step_ == Step::WatchingChanges)
            watchNextChange(now);
        return;
    }
    if (answer.status != Status::Unchanged) {
        restart(now);
        return;
    }
    if (log_.newest() < next)
        hooks_.onConfirmed(now);
}

}
