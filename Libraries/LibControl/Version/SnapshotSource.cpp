#include <LibControl/Version/SnapshotSource.h>

#include <LibConfiguration/Change.h>
#include <LibControl/Version/Compression.h>

namespace Control {

namespace {

    /// Number of revisions between two provided snapshots.
    constexpr uint64_t checkpointInterval = 256;
    /// Size limit of a part after decompression; a part exceeds snapshotPartBytes if a single item does.
    constexpr std::size_t maximumDecompressedPartBytes = 1'000'000;

}

void SnapshotSource::update(const ChangeLog& log)
{
    const auto& newest = log.snapshot();
    if (!newest)
        return;
    const bool isDue = newest->revision.value % checkpointInterval == 0;
    const bool coversNewest = snapshot_ && log.changesAfter(snapshot_->revision, 1).has_value();
    if (coversNewest && !isDue)
        return;
    if (snapshot_ && snapshot_->revision == newest->revision)
        return;
    snapshot_ = newest;
    parts_.clear();
}

void SnapshotSource::encodeParts()
{
    for (const auto& part : Configuration::encodeSnapshot(*snapshot_, snapshotPartBytes))
        parts_.push_back(compressBytes(part));
}

SnapshotPart SnapshotSource::makePart(const SnapshotRequest& request)
{
    SnapshotPart part { .revision = request.revision, .index = request.firstPart };
    if (!snapshot_ || (request.revision.isValid() && request.revision != snapshot_->revision))
        return part;
    if (parts_.empty())
        encodeParts();
    part.revision = snapshot_->revision;
    part.total = static_cast<uint32_t>(parts_.size());
    if (request.firstPart < parts_.size())
        part.bytes = parts_[request.firstPart];
    return part;
}

Base::ErrorOr<Configuration::SnapshotPointer> joinSnapshotParts(const std::vector<std::string>& compressedParts)
{
    std::vector<std::string> parts;
    for (const auto& compressed : compressedParts) {
        TRY_ASSIGN(part, decompressBytes(compressed, maximumDecompressedPartBytes));
        parts.push_back(std::move(part));
    }
    TRY_ASSIGN(snapshot, Configuration::decodeSnapshot(parts));
    return std::make_shared<const Configuration::Snapshot>(std::move(snapshot));
}

}
