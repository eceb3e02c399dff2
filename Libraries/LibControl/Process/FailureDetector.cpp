#include <LibControl/Process/FailureDetector.h>

#include <algorithm>

namespace Control {

using Base::nanoseconds;
using Base::TimePoint;

namespace {

    constexpr uint32_t relaysPerProbe = 3;
    /// Number of accusers beyond the first that reduce a suspicion's timeout to its minimum.
    constexpr std::size_t accusersForMinimumTimeout = 3;
    constexpr uint32_t maximumHealthScore = 4;
    constexpr uint32_t pausePenalty = 2;
    constexpr std::size_t maximumIndirectProbes = 256;
    /// Number of periods without a received message after which this node counts as isolated and raises no suspicions.
    constexpr int64_t isolationThresholdPeriods = 2;

}

FailureDetector::FailureDetector(const Options& options)
    : options_(options)
    , protocolPeriod_(options.protocolPeriod)
    , random_(options.seed)
    , sequence_(random_.next() >> 16)
{
}

nanoseconds FailureDetector::scaledByPeriod(Base::milliseconds time) const
{
    return std::chrono::duration_cast<nanoseconds>(time) * protocolPeriod_.count() / options_.protocolPeriod.count();
}

nanoseconds FailureDetector::scaledByHealth(Base::milliseconds time) const
{
    return scaledByPeriod(time) * (1 + healthScore_);
}

void FailureDetector::updatePeriod(std::size_t groupSize)
{
    const auto scaledPeriod = options_.protocolPeriod * static_cast<int64_t>(groupSize)
        / static_cast<int64_t>(options_.fullPeriodGroupSize);
    protocolPeriod_
        = std::clamp(scaledPeriod, std::min(options_.minimumPeriod, options_.protocolPeriod), options_.protocolPeriod);
}

void FailureDetector::increaseHealthScore(uint32_t amount)
{
    healthScore_ = std::min(maximumHealthScore, healthScore_ + amount);
}

bool FailureDetector::detectPause(TimePoint now)
{
    const auto gap = lastTickAt_ ? now - *lastTickAt_ : nanoseconds(0);
    lastTickAt_ = now;
    if (gap < options_.pauseThreshold)
        return false;
    ++pauses_;
    increaseHealthScore(pausePenalty);
    probe_.reset();
    indirectProbes_.clear();
    lastReceivedAt_.reset();
    for (auto& [id, suspicion] : suspicions_)
        suspicion.startedAt += gap;
    return true;
}

void FailureDetector::tick(TimePoint now, const std::vector<EntryVmId>& group, const std::vector<EntryVmId>& relays,
    std::vector<ProbeAction>& actions)
{
    if (detectPause(now))
        nextProbeAt_ = now;
    if (!probe_)
        updatePeriod(group.size());
    expireIndirectProbes(now, actions);
    confirmFailures(now, actions);
    if (probe_)
        advanceProbe(now, relays, actions);
    if (!probe_ && now >= nextProbeAt_)
        startProbe(now, group, actions);
}

std::optional<EntryVmId> FailureDetector::nextTarget(const std::vector<EntryVmId>& group)
{
    while (!group.empty()) {
        if (probeOrder_.empty()) {
            probeOrder_ = group;
            for (std::size_t left = probeOrder_.size(); left > 1; --left)
                std::swap(probeOrder_[left - 1], probeOrder_[random_.below(left)]);
        }
        const auto target = probeOrder_.back();
        probeOrder_.pop_back();
        if (std::binary_search(group.begin(), group.end(), target))
            return target;
    }
    return std::nullopt;
}

void FailureDetector::startProbe(TimePoint now, const std::vector<EntryVmId>& group, std::vector<ProbeAction>& actions)
{
    const auto target = nextTarget(group);
    nextProbeAt_ = now + scaledByHealth(options_.protocolPeriod);
    if (!target)
        return;
    probe_ = Probe { .target = *target, .sequence = nextSequenceNumber(), .startedAt = now };
    actions.push_back(SendPing { .to = *target, .sequence = probe_->sequence });
}

void FailureDetector::advanceProbe(
    TimePoint now, const std::vector<EntryVmId>& relays, std::vector<ProbeAction>& actions)
{
    const auto elapsed = now - probe_->startedAt;
    if (elapsed >= scaledByHealth(options_.protocolPeriod)) {
        concludeProbe(now, actions);
        return;
    }
    if (!probe_->isRetried && elapsed >= scaledByHealth(options_.pingRetryDelay)) {
        probe_->isRetried = true;
        actions.push_back(SendPing { .to = probe_->target, .sequence = probe_->sequence });
    }
    if (probe_->relaysRequested == 0 && elapsed >= scaledByHealth(options_.indirectProbeDelay))
        requestIndirectProbes(relays, actions);
}

void FailureDetector::requestIndirectProbes(const std::vector<EntryVmId>& relays, std::vector<ProbeAction>& actions)
{
    if (relays.empty())
        return;
    const auto start = random_.below(relays.size());
    for (std::size_t step = 0; step < relays.size() && probe_->relaysRequested < relaysPerProbe; ++step) {
        const auto relay = relays[(start + step) % relays.size()];
        if (relay == probe_->target || relay == options_.self)
            continue;
        ++probe_->relaysRequested;
        actions.push_back(SendPingRequest { .to = relay, .sequence = probe_->sequence, .target = probe_->target });
    }
}

void FailureDetector::concludeProbe(TimePoint now, std::vector<ProbeAction>& actions)
{
    const auto probe = *probe_;
    probe_.reset();
    const bool hasNoRelays = probe.relaysRequested == 0;
    const bool hasRecentMessages
        = lastReceivedAt_ && now - *lastReceivedAt_ < options_.protocolPeriod * isolationThresholdPeriods;
    if (probe.relaysResponded < probe.relaysRequested)
        increaseHealthScore(1);
    if (!hasNoRelays && !hasRecentMessages)
        return;
    actions.push_back(RaiseSuspicion { .id = probe.target });
}

void FailureDetector::handleAcknowledge(
    TimePoint now, EntryVmId from, uint64_t sequence, bool reached, std::vector<ProbeAction>& actions)
{
    if (const auto found = indirectProbes_.find(sequence); found != indirectProbes_.end() && reached) {
        actions.push_back(SendIndirectResult {
            .to = found->second.requester, .sequence = found->second.requesterSequence, .reached = true });
        indirectProbes_.erase(found);
        return;
    }
    if (!probe_ || probe_->sequence != sequence)
        return;
    if (!reached) {
        ++probe_->relaysResponded;
        return;
    }
    if (from == probe_->target && healthScore_ > 0)
        --healthScore_;
    probe_.reset();
    recordMessageReceived(now);
}

void FailureDetector::handlePingRequest(
    TimePoint now, EntryVmId requester, uint64_t sequence, EntryVmId target, std::vector<ProbeAction>& actions)
{
    if (indirectProbes_.size() >= maximumIndirectProbes)
        return;
    const auto ownSequence = nextSequenceNumber();
    indirectProbes_.emplace(
        ownSequence, IndirectProbe { .requester = requester, .requesterSequence = sequence, .startedAt = now });
    actions.push_back(SendPing { .to = target, .sequence = ownSequence });
}

void FailureDetector::expireIndirectProbes(TimePoint now, std::vector<ProbeAction>& actions)
{
    std::erase_if(indirectProbes_, [&](const auto& entry) {
        const auto& indirectProbe = entry.second;
        if (now - indirectProbe.startedAt < scaledByPeriod(options_.indirectProbeDelay))
            return false;
        actions.push_back(SendIndirectResult {
            .to = indirectProbe.requester, .sequence = indirectProbe.requesterSequence, .reached = false });
        return true;
    });
}

void FailureDetector::recordSuspicion(TimePoint now, EntryVmId id, EntryVmId accuser)
{
    auto& suspicion = suspicions_[id];
    if (suspicion.accusers.empty())
        suspicion.startedAt = now;
    if (suspicion.accusers.size() <= accusersForMinimumTimeout)
        suspicion.accusers.insert(accuser);
}

void FailureDetector::clearSuspicion(EntryVmId id) { suspicions_.erase(id); }

nanoseconds FailureDetector::suspicionTimeout(const Suspicion& suspicion) const
{
    const auto others = std::min(suspicion.accusers.size() - 1, accusersForMinimumTimeout);
    const nanoseconds maximumTimeout = options_.maximumSuspicionTimeout;
    const nanoseconds minimumTimeout = options_.minimumSuspicionTimeout;
    return maximumTimeout
        - (maximumTimeout - minimumTimeout) * static_cast<int64_t>(others)
        / static_cast<int64_t>(accusersForMinimumTimeout);
}

void FailureDetector::confirmFailures(TimePoint now, std::vector<ProbeAction>& actions)
{
    std::erase_if(suspicions_, [&](const auto& entry) {
        if (now - entry.second.startedAt < suspicionTimeout(entry.second))
            return false;
        actions.push_back(ConfirmFailure { .id = entry.first });
        return true;
    });
}

}
