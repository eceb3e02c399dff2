#include <LibControl/Version/Propagation.h>

#include <LibConfiguration/Change.h>

namespace Control {

using Base::ErrorOr;
using Base::milliseconds;
using Base::TimePoint;

namespace {

    /// Limit on the encoded changes in one response, in bytes.
    constexpr std::size_t maximumChangesResponseBytes = 3000;
    /// Push delay per watcher slot: the second watcher pushes a change only if it has not received the first one's push
    /// within this time.
    constexpr milliseconds watcherSlotPushDelay { 400 };
    /// Maximum random delay before a change pulled from another failure domain is pushed in this node's own one.
    constexpr uint64_t maximumImportPushJitterMilliseconds = 100;
    /// Fraction of the byte budget for receiving a snapshot.
    constexpr double fetchBudgetFactor = 0.65;

    std::string field(const char* name, Revision revision)
    {
        return std::string(name) + "=" + std::to_string(revision.value);
    }

}

Propagation::Propagation(
    const ControlNode::Options& options, Hooks hooks, Outbox& outbox, ControlStatistics& statistics)
    : self_(options.self)
    , hooks_(std::move(hooks))
    , outbox_(outbox)
    , statistics_(statistics)
    , random_(Base::mix(options.seed, options.self.value + 2))
    , changeLog_(options.applyChange)
    , pull_(random_.next())
    , changePusher_(options.self, hooks_.pushing)
    , snapshotFetch_(random_.next(), static_cast<uint32_t>(options.controlBytesPerSecond * fetchBudgetFactor))
{
}

void Propagation::tick(TimePoint now, const WatcherAnnouncement& watcher)
{
    changePusher_.tick(now, changeLog_, watcher);
    snapshotFetch_.tick(now, [this](EntryVmId to, MessageBody body) { return outbox_.send(to, std::move(body)); });
    if (changeLog_.newest() >= changeLog_.newestKnown()) {
        pull_.clear();
        return;
    }
    if (snapshotFetch_.isActive())
        return;
    if (const auto peer = pull_.nextPeer(now))
        outbox_.send(*peer, ChangesRequest { .after = changeLog_.newest() });
}

void Propagation::handleHeader(TimePoint now, EntryVmId sender, const MessageHeader& header)
{
    changeLog_.recordKnownRevision(std::max(header.newest, header.confirmed));
    freshness_.recordPeerHeader(now, header, changeLog_.newest());
    if (header.newest > changeLog_.newest())
        pull_.recordNewerPeer(now, sender, header.newest, !changeLog_.newest().isValid());
}

ErrorOr<ChangeLog::Result> Propagation::applyEncoded(TimePoint now, const std::string& encoded, bool fromStore)
{
    const auto previousRevision = changeLog_.newest();
    const auto outcome = Base::capture([&] { return changeLog_.applyEncoded(encoded); });
    const auto appliedCount = changeLog_.newest().value - previousRevision.value;
    statistics_.changesApplied += appliedCount;
    if (appliedCount > 0)
        reportEnforced(now, fromStore);
    if (!outcome.isOk()) {
        ++statistics_.changesRefused;
        outbox_.log(
            Event::ChangeRefused, field("after", changeLog_.newest()) + " detail=\"" + outcome.error.detail + "\"");
        return Base::makeError(outcome.error.code, outcome.error.detail);
    }
    if (*outcome.value == ChangeLog::Result::AlreadyApplied)
        ++statistics_.changesAlreadyApplied;
    if (*outcome.value == ChangeLog::Result::Gap)
        outbox_.log(Event::ConfigurationGap,
            field("held", changeLog_.newest()) + " " + field("heard", changeLog_.newestKnown()));
    if (*outcome.value == ChangeLog::Result::Conflicts)
        outbox_.log(Event::StoreHistoryDiffers, field("held", changeLog_.newest()));
    return *outcome.value;
}

void Propagation::reportEnforced(TimePoint now, bool fromStore)
{
    freshness_.recordAdoption(now, changeLog_.newest(), fromStore);
    snapshotSource_.update(changeLog_);
    hooks_.onEnforced(now);
}

ErrorOr<void> Propagation::handleChangePush(TimePoint now, EntryVmId sender, const ChangePush& push)
{
    for (const auto& encoded : push.changes)
        TRY(applyEncoded(now, encoded, false));
    if (changeLog_.newest() < changeLog_.newestKnown())
        pull_.recordNewerPeer(now, sender, changeLog_.newestKnown(), !changeLog_.newest().isValid());
    if (push.changes.empty()) {
        changePusher_.forward(push, {});
        return {};
    }
    TRY_ASSIGN(last, Configuration::decodeChange(push.changes.back()));
    changePusher_.forward(push, last.revision);
    return {};
}

void Propagation::handleChangesRequest(EntryVmId sender, const ChangesRequest& request)
{
    auto changes = changeLog_.changesAfter(request.after, maximumChangesResponseBytes);
    outbox_.send(sender, Changes { .changes = changes ? std::move(*changes) : std::vector<std::string> {} });
}

ErrorOr<void> Propagation::handleChanges(TimePoint now, EntryVmId sender, const Changes& changes)
{
    if (changes.changes.empty()) {
        if (changeLog_.newest() < changeLog_.newestKnown())
            startSnapshotFetch();
        return {};
    }
    const auto previousRevision = changeLog_.newest();
    for (const auto& encoded : changes.changes)
        TRY(applyEncoded(now, encoded, false));
    pull_.retryNow(now);
    if (changeLog_.newest() > previousRevision && !hooks_.isInOwnDomain(sender))
        changePusher_.schedule(now + milliseconds(random_.below(maximumImportPushJitterMilliseconds)), previousRevision,
            changeLog_.newest());
    return {};
}

void Propagation::startSnapshotFetch()
{
    for (const auto peer : pull_.peers())
        snapshotFetch_.addSource(peer);
}

void Propagation::handleSnapshotRequest(EntryVmId sender, const SnapshotRequest& request)
{
    outbox_.send(sender, snapshotSource_.makePart(request));
}

void Propagation::handleSnapshotPart(TimePoint now, EntryVmId sender, SnapshotPart part)
{
    if (!snapshotFetch_.handlePart(now, sender, std::move(part)))
        return;
    const auto parts = snapshotFetch_.takeParts();
    auto snapshot = Base::capture([&] { return joinSnapshotParts(parts); });
    if (!snapshot.isOk()) {
        outbox_.log(Event::SnapshotPartRefused, "detail=\"" + snapshot.error.detail + "\"");
        return;
    }
    if (!changeLog_.installSnapshot(*snapshot.value))
        return;
    ++statistics_.snapshotsInstalled;
    outbox_.log(Event::SnapshotTransferred, field("revision", changeLog_.newest()));
    reportEnforced(now, false);
    pull_.retryNow(now);
}

bool Propagation::handleStoreChange(TimePoint now, const std::string& encoded, uint32_t slot)
{
    const auto previousRevision = changeLog_.newest();
    const auto result = Base::capture([&] { return applyEncoded(now, encoded, true); });
    if (changeLog_.newest() > previousRevision)
        changePusher_.schedule(
            now + watcherSlotPushDelay * static_cast<int64_t>(slot), previousRevision, changeLog_.newest());
    return result.isOk()
        && (*result.value == ChangeLog::Result::Applied || *result.value == ChangeLog::Result::AlreadyApplied);
}

void Propagation::handleStoreSnapshot(TimePoint now, Configuration::SnapshotPointer snapshot)
{
    if (!changeLog_.installSnapshot(std::move(snapshot)))
        return;
    ++statistics_.snapshotsInstalled;
    reportEnforced(now, true);
}

void Propagation::fillHeader(TimePoint now, MessageHeader& header) const
{
    header.newest = changeLog_.newest();
    freshness_.fillHeader(now, header);
}

}
