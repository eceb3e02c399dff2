#include <LibControl/Process/Acknowledgements.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <cmath>

namespace Control {

using Base::milliseconds;
using Base::TimePoint;

namespace {

    /// A member reports a new revision after a random delay up to this limit, and repeats the report at the repeat
    /// interval in case it was lost.
    constexpr uint64_t maximumReportJitterMilliseconds = 1500;
    constexpr Base::milliseconds reportRepeatInterval { 5000 };
    /// Interval at which aggregators and collectors compute their sums.
    constexpr Base::milliseconds sumInterval { 2000 };
    /// Minimum time between two reports of an incomplete group.
    constexpr Base::milliseconds incompleteSumInterval { 4000 };
    /// Group sums older than this are discarded.
    constexpr Base::milliseconds groupReportTimeout { 15'000 };
    /// Maximum number of missing members listed in a failure domain's sum, and in a group's.
    constexpr std::size_t maximumMissingPerDomain = 8;
    constexpr std::size_t maximumMissingPerGroup = 3;

}

Acknowledgements::Acknowledgements(EntryVmId self, DomainTag domain, uint64_t seed, Hooks hooks)
    : self_(self)
    , domain_(domain)
    , random_(seed)
    , hooks_(std::move(hooks))
{
}

uint32_t Acknowledgements::groupCount() const
{
    const auto members = static_cast<double>(hooks_.members().size());
    return std::max<uint32_t>(1, static_cast<uint32_t>(std::lround(std::sqrt(members))));
}

uint32_t Acknowledgements::groupOf(EntryVmId id) const
{
    return static_cast<uint32_t>(Base::mix(id.value) % groupCount());
}

EntryVmId Acknowledgements::aggregatorOf(uint32_t group) const
{
    const auto& members = hooks_.members();
    const auto found = std::max_element(members.begin(), members.end(), [&](EntryVmId first, EntryVmId second) {
        return Base::mix(group + 1, first.value) < Base::mix(group + 1, second.value);
    });
    return found == members.end() ? self_ : *found;
}

void Acknowledgements::setOwnRevision(TimePoint now, Revision revision)
{
    ownRevision_ = revision;
    const auto due = now + Base::milliseconds(random_.below(maximumReportJitterMilliseconds));
    nextReportAt_ = isReportScheduled_ ? std::min(nextReportAt_, due) : due;
    isReportScheduled_ = true;
}

void Acknowledgements::tick(TimePoint now)
{
    if (!ownRevision_.isValid())
        return;
    if (now >= nextReportAt_) {
        nextReportAt_ = now + reportRepeatInterval + Base::milliseconds(random_.below(maximumReportJitterMilliseconds));
        sendOwnReport();
    }
    if (now < nextSumAt_)
        return;
    nextSumAt_ = now + sumInterval;
    sendGroupReports(now);
    updateDomainSum(now);
}

void Acknowledgements::sendOwnReport()
{
    const auto aggregator = aggregatorOf(groupOf(self_));
    if (aggregator == self_)
        memberReports_[self_] = ownRevision_;
    else
        hooks_.send(
            aggregator, AcknowledgementReport { .revision = ownRevision_, .group = groupOf(self_), .missing = {} });
}

std::optional<AcknowledgementReport> Acknowledgements::sumGroup(uint32_t group) const
{
    AcknowledgementReport sum { .revision = ownRevision_, .group = group, .missing = {} };
    for (const auto id : hooks_.members()) {
        if (groupOf(id) != group)
            continue;
        ++sum.total;
        const auto found = memberReports_.find(id);
        if (found != memberReports_.end() && found->second >= ownRevision_)
            ++sum.inForce;
        else if (sum.missing.size() < maximumMissingPerGroup)
            sum.missing.push_back(id);
    }
    return sum.total == 0 ? std::nullopt : std::optional(sum);
}

void Acknowledgements::sendGroupReports(TimePoint now)
{
    if (memberReports_.empty())
        return;
    const auto collector = hooks_.collector();
    if (!collector)
        return;
    const auto& members = hooks_.members();
    std::erase_if(memberReports_,
        [&](const auto& entry) { return !std::binary_search(members.begin(), members.end(), entry.first); });
    memberReports_[self_] = ownRevision_;
    for (uint32_t group = 0; group < groupCount(); ++group) {
        if (aggregatorOf(group) == self_)
            sendGroupReport(now, group, *collector);
    }
}

void Acknowledgements::sendGroupReport(TimePoint now, uint32_t group, EntryVmId collector)
{
    const auto sum = sumGroup(group);
    if (!sum)
        return;
    if (collector == self_) {
        groupReports_[group] = { .report = *sum, .receivedAt = now };
        return;
    }
    auto& sent = sentSums_[group];
    const bool isSame = sent.revision == sum->revision && sent.inForce == sum->inForce && sent.total == sum->total;
    const bool isComplete = sum->inForce == sum->total;
    const auto minimumInterval = isSame ? reportRepeatInterval : isComplete ? milliseconds(0) : incompleteSumInterval;
    if (now - sent.sentAt < minimumInterval)
        return;
    sent = { .revision = sum->revision, .inForce = sum->inForce, .total = sum->total, .sentAt = now };
    hooks_.send(collector, *sum);
}

void Acknowledgements::handleReport(TimePoint now, EntryVmId sender, const AcknowledgementReport& report)
{
    if (report.total > 0)
        groupReports_[report.group] = { .report = report, .receivedAt = now };
    else
        memberReports_[sender] = std::max(memberReports_[sender], report.revision);
}

void Acknowledgements::updateDomainSum(TimePoint now)
{
    const auto collector = hooks_.collector();
    if (collector != self_)
        return;
    DomainProgress progress { .domain = domain_,
        .revision = ownRevision_,
        .total = static_cast<uint32_t>(hooks_.members().size()),
        .missing = {} };
    std::erase_if(groupReports_, [&](const auto& entry) {
        return now - entry.second.receivedAt > groupReportTimeout || entry.first >= groupCount();
    });
    for (const auto& [group, received] : groupReports_) {
        if (received.report.revision != ownRevision_)
            continue;
        progress.inForce += received.report.inForce;
        for (const auto id : received.report.missing) {
            if (progress.missing.size() < maximumMissingPerDomain)
                progress.missing.push_back(id);
        }
    }
    progress.inForce = std::min(progress.inForce, progress.total);
    progress_[domain_] = progress;
}

void Acknowledgements::merge(const std::vector<DomainProgress>& peerProgress)
{
    for (const auto& progress : peerProgress) {
        if (progress.domain == domain_ && hooks_.collector() == self_)
            continue;
        auto& known = progress_[progress.domain];
        const bool isNewer = progress.revision > known.revision
            || (progress.revision == known.revision && progress.inForce > known.inForce);
        if (isNewer)
            known = progress;
    }
}

std::vector<DomainProgress> Acknowledgements::knownProgress() const
{
    std::vector<DomainProgress> all;
    for (const auto& [domain, progress] : progress_)
        all.push_back(progress);
    return all;
}

const DomainProgress* Acknowledgements::find(DomainTag domain) const
{
    const auto found = progress_.find(domain);
    return found == progress_.end() ? nullptr : &found->second;
}

}
