#include <LibControl/Version/SnapshotFetch.h>

#include <algorithm>

namespace Control {

using Base::TimePoint;

namespace {

    constexpr std::size_t maximumSources = 4;
    constexpr uint32_t maximumSourceFailures = 3;
    constexpr Base::milliseconds partRequestTimeout { 1500 };
    constexpr uint32_t maximumParts = 10'000;
    /// Weight of the newest part in the running mean of part sizes.
    constexpr double meanPartBytesWeight = 0.2;
    constexpr double burstFactor = 0.2;

}

SnapshotFetch::SnapshotFetch(uint64_t seed, uint32_t bytesPerSecond)
    : random_(seed)
    , byteBudget_(bytesPerSecond, bytesPerSecond * burstFactor)
{
}

SnapshotFetch::Source* SnapshotFetch::findSource(EntryVmId id)
{
    const auto found
        = std::find_if(sources_.begin(), sources_.end(), [&](const Source& source) { return source.id == id; });
    return found == sources_.end() ? nullptr : &*found;
}

void SnapshotFetch::addSource(EntryVmId id)
{
    isActive_ = true;
    if (!findSource(id) && sources_.size() < maximumSources)
        sources_.push_back({ .id = id, .pendingRequest = {} });
}

std::optional<uint32_t> SnapshotFetch::nextMissingPart() const
{
    for (uint32_t part = 0; part < parts_.size(); ++part) {
        const bool isRequested = std::any_of(sources_.begin(), sources_.end(),
            [&](const Source& source) { return source.pendingRequest && source.pendingRequest->part == part; });
        if (parts_[part].empty() && !isRequested)
            return part;
    }
    return std::nullopt;
}

void SnapshotFetch::requestPart(TimePoint now, Source& source, const Send& send)
{
    const bool isFirst = parts_.empty();
    const auto part = isFirst ? std::optional<uint32_t>(0) : nextMissingPart();
    if (!part || !byteBudget_.tryConsume(meanPartBytes_))
        return;
    send(source.id, SnapshotRequest { .revision = revision_, .firstPart = *part });
    source.pendingRequest = PendingRequest { .part = *part, .deadline = now + partRequestTimeout };
}

void SnapshotFetch::tick(TimePoint now, const Send& send)
{
    byteBudget_.refill(now);
    if (!isActive_)
        return;
    for (auto& source : sources_) {
        if (source.pendingRequest && now >= source.pendingRequest->deadline) {
            source.pendingRequest.reset();
            ++source.failures;
        }
    }
    std::erase_if(sources_, [](const Source& source) { return source.failures >= maximumSourceFailures; });
    if (sources_.empty()) {
        isActive_ = false;
        return;
    }
    for (auto& source : sources_) {
        const bool isFirst = parts_.empty();
        if (isFirst && &source != &sources_.front())
            break;
        if (!source.pendingRequest)
            requestPart(now, source, send);
    }
}

bool SnapshotFetch::handlePart(TimePoint now, EntryVmId from, SnapshotPart part)
{
    auto* source = findSource(from);
    if (!isActive_ || !source)
        return false;
    source->pendingRequest.reset();
    const bool isUsable = part.total > 0 && part.total <= maximumParts && part.index < part.total;
    const bool isMismatched = !parts_.empty() && (part.revision != revision_ || part.total != parts_.size());
    if (!isUsable || isMismatched || part.bytes.empty()) {
        std::erase_if(sources_, [&](const Source& existing) { return existing.id == from; });
        if (sources_.empty())
            endTransfer();
        return false;
    }
    source->failures = 0;
    if (parts_.empty()) {
        revision_ = part.revision;
        parts_.resize(part.total);
    }
    const auto deviation = static_cast<double>(part.bytes.size()) - meanPartBytes_;
    byteBudget_.refill(now);
    byteBudget_.consume(deviation);
    meanPartBytes_ += deviation * meanPartBytesWeight;
    if (parts_[part.index].empty()) {
        parts_[part.index] = std::move(part.bytes);
        ++received_;
    }
    return received_ == parts_.size();
}

void SnapshotFetch::endTransfer()
{
    isActive_ = false;
    revision_ = {};
    parts_.clear();
    received_ = 0;
    sources_.clear();
}

std::vector<std::string> SnapshotFetch::takeParts()
{
    auto parts = std::move(parts_);
    endTransfer();
    return parts;
}

}
