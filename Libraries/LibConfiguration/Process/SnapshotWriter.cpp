#include <LibBase/Verify.h>
#include <LibConfiguration/Process/SnapshotWriter.h>
#include <algorithm>

namespace Configuration {

using Store::Status;

namespace {

    /// Version of a key that was written once and never deleted.
    constexpr Store::KeyVersion firstVersion = 1;

}

SnapshotWriter::SnapshotWriter(const Options& options)
    : options_(options)
{
}

bool SnapshotWriter::isDue(Revision revision) const
{
    return !isRunning() && revision.value >= manifest_.revision.value + options_.interval;
}

void SnapshotWriter::observeManifest(const SnapshotManifest& manifest)
{
    if (manifest.revision > manifest_.revision)
        manifest_ = manifest;
}

Store::Request SnapshotWriter::begin(const SnapshotPointer& snapshot)
{
    VERIFY(isDue(snapshot->revision));
    snapshot_ = snapshot;
    step_ = Step::ReadManifest;
    return Store::Get { snapshotManifestKey() };
}

std::optional<Store::Request> SnapshotWriter::stop()
{
    step_ = Step::Idle;
    snapshot_ = nullptr;
    parts_.clear();
    cleanUp_.clear();
    return std::nullopt;
}

std::optional<Store::Request> SnapshotWriter::handleAnswer(const Store::Answer& answer)
{
    switch (step_) {
    case Step::ReadManifest:
        return handleManifest(answer);
    case Step::WritePart:
        return handlePartWriteAnswer(answer);
    case Step::WriteManifest:
        return handleManifestWriteAnswer(answer);
    case Step::CleanUp:
        return nextCleanUpRequest();
    case Step::Idle:
        break;
    }
    return std::nullopt;
}

std::optional<Store::Request> SnapshotWriter::handleManifest(const Store::Answer& answer)
{
    if (answer.status != Status::Ok && answer.status != Status::NotFound)
        return stop();
    manifestVersion_ = answer.version;
    if (answer.status == Status::Ok) {
        const auto manifest = Base::capture([&] { return decodeManifest(answer.value); });
        if (!manifest.isOk())
            return stop();
        observeManifest(*manifest.value);
    }
    if (snapshot_->revision.value < manifest_.revision.value + options_.interval)
        return stop();
    parts_ = encodeSnapshot(*snapshot_, options_.partBytes);
    nextPart_ = 0;
    return writePart();
}

Store::Request SnapshotWriter::writePart()
{
    step_ = Step::WritePart;
    return Store::CompareAndSwap {
        .key = snapshotPartKey(snapshot_->revision, nextPart_), .expected = 0, .value = parts_[nextPart_]
    };
}

std::optional<Store::Request> SnapshotWriter::handlePartWriteAnswer(const Store::Answer& answer)
{
    const bool isAlreadyStored = answer.status == Status::VersionMismatch && answer.value == parts_[nextPart_];
    if (answer.status != Status::Ok && !isAlreadyStored)
        return stop();
    if (++nextPart_ < parts_.size())
        return writePart();
    return writeManifest();
}

Store::Request SnapshotWriter::writeManifest()
{
    step_ = Step::WriteManifest;
    newManifest_ = { .revision = snapshot_->revision,
        .partCount = static_cast<uint32_t>(parts_.size()),
        .previousRevision = manifest_.revision,
        .previousPartCount = manifest_.partCount,
        .compactedThrough = manifest_.compactedThrough };
    if (snapshot_->revision.value > options_.retention + manifest_.compactedThrough.value) {
        const auto target = snapshot_->revision.value - options_.retention;
        newManifest_.compactedThrough
            = { std::min(target, manifest_.compactedThrough.value + options_.maximumCompactedPerSnapshot) };
    }
    return Store::CompareAndSwap {
        .key = snapshotManifestKey(), .expected = manifestVersion_, .value = encodeManifest(newManifest_)
    };
}

std::optional<Store::Request> SnapshotWriter::handleManifestWriteAnswer(const Store::Answer& answer)
{
    if (answer.status != Status::Ok)
        return stop();
    ++writtenCount_;
    queueCleanUp(manifest_);
    manifest_ = newManifest_;
    step_ = Step::CleanUp;
    return nextCleanUpRequest();
}

void SnapshotWriter::queueCleanUp(const SnapshotManifest& former)
{
    for (uint32_t i = 0; i < former.previousPartCount; ++i)
        cleanUp_.push_back(
            Store::CompareAndDelete { .key = snapshotPartKey(former.previousRevision, i), .expected = firstVersion });
    for (auto i = former.compactedThrough.value + 1; i <= newManifest_.compactedThrough.value; ++i)
        cleanUp_.push_back(Store::CompareAndSwap {
            .key = changeKey({ i }), .expected = firstVersion, .value = compactedChangeMarker() });
}

std::optional<Store::Request> SnapshotWriter::nextCleanUpRequest()
{
    if (cleanUp_.empty())
        return stop();
    auto request = std::move(cleanUp_.front());
    cleanUp_.pop_front();
    return request;
}

}
