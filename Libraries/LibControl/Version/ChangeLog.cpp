#include <LibControl/Version/ChangeLog.h>

namespace Control {

using Base::ErrorOr;
using Configuration::Change;

namespace {

    /// Limits on the changes stored for peers that lag behind.
    constexpr std::size_t maximumRecentBytes = 512 * 1024;
    constexpr std::size_t maximumRecentChanges = 1024;
    /// Limit on the changes buffered while a predecessor is missing.
    constexpr std::size_t maximumPendingChanges = 64;

    ErrorOr<Configuration::SnapshotPointer> applyUncached(
        const Configuration::SnapshotPointer& base, const Change& change)
    {
        TRY_ASSIGN(next, Configuration::apply(base ? *base : Configuration::Snapshot {}, change));
        return std::make_shared<const Configuration::Snapshot>(std::move(next));
    }

}

ChangeLog::ChangeLog(ChangeApplier applier)
    : applier_(applier ? std::move(applier) : applyUncached)
{
}

void ChangeLog::appendRecent(std::string encoded)
{
    recentBytes_ += encoded.size();
    recent_.push_back(std::move(encoded));
    while (recent_.size() > maximumRecentChanges || (recentBytes_ > maximumRecentBytes && recent_.size() > 1)) {
        recentBytes_ -= recent_.front().size();
        recent_.pop_front();
    }
}

ErrorOr<void> ChangeLog::applyNext(const Change& change, const std::string& encoded)
{
    TRY_ASSIGN(next, applier_(snapshot_, change));
    snapshot_ = std::move(next);
    appendRecent(encoded);
    return {};
}

ErrorOr<void> ChangeLog::applyPending()
{
    while (!pending_.empty() && pending_.begin()->first.value <= newest().value + 1) {
        const auto [revision, encoded] = std::move(*pending_.begin());
        pending_.erase(pending_.begin());
        if (revision <= newest())
            continue;
        TRY_ASSIGN(change, Configuration::decodeChange(encoded));
        TRY(applyNext(change, encoded));
    }
    return {};
}

ErrorOr<ChangeLog::Result> ChangeLog::applyEncoded(const std::string& encoded)
{
    TRY_ASSIGN(change, Configuration::decodeChange(encoded));
    recordKnownRevision(change.revision);
    if (change.revision <= newest()) {
        const auto* stored = find(change.revision);
        return stored && *stored != encoded ? Result::Conflicts : Result::AlreadyApplied;
    }
    if (change.revision.value > newest().value + 1) {
        if (pending_.size() < maximumPendingChanges)
            pending_.emplace(change.revision, encoded);
        return Result::Gap;
    }
    TRY(applyNext(change, encoded));
    TRY(applyPending());
    return Result::Applied;
}

bool ChangeLog::installSnapshot(Configuration::SnapshotPointer snapshot)
{
    if (!snapshot || snapshot->revision <= newest())
        return false;
    snapshot_ = std::move(snapshot);
    recent_.clear();
    recentBytes_ = 0;
    static_cast<void>(Base::captureError([&] { return applyPending(); }));
    return true;
}

const std::string* ChangeLog::find(Revision revision) const
{
    const auto oldest = newest().value - recent_.size() + 1;
    if (revision.value < oldest || revision > newest() || !revision.isValid())
        return nullptr;
    return &recent_[revision.value - oldest];
}

std::optional<std::vector<std::string>> ChangeLog::changesAfter(Revision after, std::size_t maximumBytes) const
{
    std::vector<std::string> changes;
    std::size_t bytes = 0;
    for (auto revision = Revision { after.value + 1 }; revision <= newest(); ++revision.value) {
        const auto* encoded = find(revision);
        if (!encoded)
            return std::nullopt;
        bytes += encoded->size();
        if (!changes.empty() && bytes > maximumBytes)
            break;
        changes.push_back(*encoded);
    }
    return changes;
}

}
