#include <LibSteering/Connection/StalledFlows.h>

#include <algorithm>

namespace Steering {

namespace {

    /// Few responses take longer than this multiple of the usual time unless their server is overloaded.
    constexpr int stallFactor = 4;
    constexpr Base::milliseconds minimumStallThreshold { 80 };
    constexpr Base::milliseconds maximumStallThreshold { 400 };
    /// A new sample has one eighth of the weight, as in TCP's round-trip time estimate.
    constexpr int responseSmoothingDivisor = 8;
    /// A single lost first packet is more likely lost on the way.
    constexpr uint32_t attemptTimeoutsBeforeProbe = 2;
    constexpr Base::milliseconds usualProbeInterval { 300 };
    /// A process that starts again may be absent for a fraction of a second only.
    constexpr Base::milliseconds probeIntervalWithoutStore { 50 };
    /// A server that could not be reached this long ago may be reachable again.
    constexpr Base::milliseconds probeValidity { 1000 };
    /// No request takes this long, also at a slow server with a full queue. A live server whose address stands in a
    /// wrong entry must keep its flows.
    constexpr Base::milliseconds replacedServerSilence { 1000 };
    /// One check for each flow with a request in flight; further ones are not watched.
    constexpr std::size_t maximumChecks = 200'000;

}

Base::microseconds StalledFlows::stallThreshold() const
{
    return std::clamp<Base::microseconds>(responseTime_ * stallFactor, minimumStallThreshold, maximumStallThreshold);
}

Base::milliseconds StalledFlows::probeInterval() const
{
    return isStoreReachable_ ? usualProbeInterval : probeIntervalWithoutStore;
}

void StalledFlows::recordRequest(
    Base::TimePoint now, Base::nanoseconds stallTime, const Packet::FlowKey& flow, FlowRecord& record)
{
    record.requestSeenAt = now;
    record.stallTimeAtRequest = stallTime;
    if (checks_.size() < maximumChecks)
        checks_.push({ .flow = flow, .requestSeenAt = now, .dueAt = now + stallThreshold() });
}

void StalledFlows::recordResponse(Base::TimePoint now, Base::nanoseconds stallTime, const FlowRecord& record)
{
    const auto sample = std::chrono::duration_cast<Base::microseconds>(
        now - record.requestSeenAt - (stallTime - record.stallTimeAtRequest));
    responseTime_ += (sample - responseTime_) / responseSmoothingDivisor;
    const auto index = servers_.find(record.server);
    if (!index)
        return;
    auto& server = servers_.at(*index);
    server.lastResponseAt = now;
    server.unreachableAt = {};
    if (!server.confirmedAddress)
        server.confirmAddress(record.requestSeenAt);
}

void StalledFlows::recordAttemptTimeout(Base::TimePoint now, Server& server)
{
    if (!isStoreReachable_ || server.consecutiveTimeouts >= attemptTimeoutsBeforeProbe)
        probe(now, server);
}

Base::TimePoint StalledFlows::nextCheck() const
{
    return checks_.empty() ? Base::TimePoint::max() : checks_.top().dueAt;
}

void StalledFlows::probe(Base::TimePoint now, Server& server)
{
    const bool isRecent = server.lastProbeAt != Base::TimePoint {} && now - server.lastProbeAt < probeInterval();
    if (server.isProbePending || isRecent)
        return;
    server.isProbePending = true;
    server.lastProbeAt = now;
    probes_.push_back({ .server = server.entry.number, .address = server.flowAddress() });
}

void StalledFlows::runDueChecks(Base::TimePoint now, Base::nanoseconds stallTime)
{
    while (!checks_.empty() && checks_.top().dueAt <= now) {
        const auto check = checks_.top();
        checks_.pop();
        const auto* record = flows_.find(check.flow);
        const bool isWaiting
            = record != nullptr && record->isWithoutResponse() && record->requestSeenAt == check.requestSeenAt;
        const auto index = isWaiting ? servers_.find(record->server) : std::nullopt;
        if (!index)
            continue;
        auto& server = servers_.at(*index);
        const auto waitingTime = now - record->requestSeenAt - (stallTime - record->stallTimeAtRequest);
        const bool isSilent = server.lastResponseAt <= record->requestSeenAt && waitingTime >= stallThreshold();
        if (!isSilent) {
            checks_.push({ check.flow, check.requestSeenAt, now + stallThreshold() });
            continue;
        }
        // A probe would reach the later server at the address, so that only silence can show that this one has ended.
        if (server.isReplaced()) {
            if (waitingTime < replacedServerSilence) {
                checks_.push({ check.flow, check.requestSeenAt, now + stallThreshold() });
                continue;
            }
            if (!server.hasEnded)
                server.endShownBySilenceAt = now;
            server.hasEnded = true;
            resets_.push_back({ .flow = check.flow, .acknowledged = record->acknowledgedAtRequest });
            continue;
        }
        stalled_[server.entry.number].push_back(check.flow);
        probe(now, server);
        // The server was probed a moment ago for another flow; the flow is checked again when it may be probed next.
        if (!server.isProbePending) {
            stalled_.erase(server.entry.number);
            checks_.push({ check.flow, check.requestSeenAt, server.lastProbeAt + probeInterval() });
        }
    }
}

void StalledFlows::handleProbe(Base::TimePoint now, const ServerProbed& result)
{
    const auto waiting = stalled_.extract(result.server);
    const auto index = servers_.find(result.server);
    if (!index)
        return;
    auto& server = servers_.at(*index);
    server.isProbePending = false;
    const bool hasResponded = server.lastResponseAt > server.lastProbeAt;
    if (result.isReachable || hasResponded || server.isAddressUnproven()) {
        server.unreachableAt = {};
        return;
    }
    server.unreachableAt = now;
    server.suspectUntil = std::max(server.suspectUntil, now + probeValidity);
    if (waiting.empty())
        return;
    for (const auto& flow : waiting.mapped()) {
        const auto* record = flows_.find(flow);
        const bool isWaiting = record != nullptr && record->isWithoutResponse() && record->server == result.server;
        if (isWaiting)
            resets_.push_back({ .flow = flow, .acknowledged = record->acknowledgedAtRequest });
    }
}

bool StalledFlows::isGone(Base::TimePoint now, const Server& server) const
{
    const bool isUnreachable = server.unreachableAt != Base::TimePoint {} && now - server.unreachableAt < probeValidity;
    return server.hasEnded || isUnreachable;
}

void StalledFlows::recordReset(Base::TimePoint now, ServerIndex index)
{
    auto& server = servers_.at(index);
    if (!server.hasEnded)
        probe(now, server);
}

}
