#include <LibControl/Version/ChangePusher.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Control {

using Base::TimePoint;

namespace {

    /// Limit on the changes in one push, in bytes; a single larger change is pushed alone.
    constexpr std::size_t maximumPushBytes = 1400;
    /// Minimum time between pushes; changes that arrive meanwhile are pushed together.
    constexpr Base::milliseconds pushInterval { 200 };
    /// Number of pushes recorded, so that each is forwarded only once.
    constexpr std::size_t maximumForwardedPushes = 64;
    /// Interval at which a watcher announces itself and the store's last confirmation.
    constexpr Base::milliseconds heartbeatInterval { 2000 };

}

ChangePusher::ChangePusher(EntryVmId self, Hooks hooks)
    : self_(self)
    , hooks_(std::move(hooks))
{
}

void ChangePusher::schedule(TimePoint due, Revision base, Revision newest)
{
    if (newest <= newestForwarded_)
        return;
    if (!scheduled_) {
        scheduled_ = Scheduled { .due = due, .base = base, .newest = newest };
        return;
    }
    scheduled_->due = std::min(scheduled_->due, due);
    scheduled_->newest = std::max(scheduled_->newest, newest);
}

void ChangePusher::tick(TimePoint now, const ChangeLog& log, const WatcherAnnouncement& watcher)
{
    if (watcher.epoch != 0 && now >= nextHeartbeatAt_) {
        nextHeartbeatAt_ = now + heartbeatInterval;
        startPush({}, Base::mix(watcher.epoch, static_cast<uint64_t>(now.time_since_epoch().count())), watcher);
    }
    if (!scheduled_ || now < scheduled_->due || now < nextPushAt_)
        return;
    nextPushAt_ = now + pushInterval;
    auto base = std::max(scheduled_->base, newestForwarded_);
    const auto newest = scheduled_->newest;
    scheduled_.reset();
    while (base < newest) {
        auto changes = log.changesAfter(base, maximumPushBytes);
        if (!changes || changes->empty())
            return;
        base.value += changes->size();
        startPush(std::move(*changes), base.value, watcher);
        recordForwarded(base, {});
    }
}

void ChangePusher::startPush(std::vector<std::string> changes, uint64_t seed, const WatcherAnnouncement& watcher)
{
    sendToDelegates({ .changes = std::move(changes),
        .range = wholeRing(seed, self_),
        .watcherDomain = watcher.domain,
        .watcherSlot = watcher.slot,
        .watcherEpoch = watcher.epoch });
}

void ChangePusher::recordForwarded(Revision last, const RingRange& range)
{
    newestForwarded_ = std::max(newestForwarded_, last);
    forwardedRanges_[last] = range;
    if (forwardedRanges_.size() > maximumForwardedPushes)
        forwardedRanges_.erase(forwardedRanges_.begin());
    if (scheduled_ && scheduled_->newest <= newestForwarded_)
        scheduled_.reset();
}

void ChangePusher::forward(const ChangePush& push, Revision last)
{
    if (push.changes.empty()) {
        sendToDelegates(push);
        return;
    }
    const auto found = forwardedRanges_.find(last);
    const bool isTooOld = forwardedRanges_.size() == maximumForwardedPushes && last < forwardedRanges_.begin()->first;
    if (isTooOld || (found != forwardedRanges_.end() && !isReturnedSubrange(push.range, found->second)))
        return;
    recordForwarded(last, push.range);
    sendToDelegates(push);
}

bool ChangePusher::isReturnedSubrange(const RingRange& range, const RingRange& handled)
{
    const bool isSameRing = range.seed == handled.seed && range.origin == handled.origin;
    const bool isInside = range.begin >= handled.begin && range.end <= handled.end;
    const bool isSmaller = range.begin > handled.begin || range.end < handled.end;
    return isSameRing && isInside && isSmaller;
}

void ChangePusher::sendToDelegates(const ChangePush& push)
{
    const auto delegates = chooseDelegates(self_, hooks_.members(), push.range, fanOut, hooks_.isUsable);
    for (const auto& delegate : delegates) {
        auto part = push;
        part.range = delegate.range;
        hooks_.send(delegate.to, std::move(part));
    }
}

}
