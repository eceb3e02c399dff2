#include <LibSteering/Process/RestartSuspicion.h>

#include <algorithm>

namespace Steering {

namespace {

    /// A store that falls silent is found unreachable within this time; absences before that may be unregistered, too.
    constexpr Base::milliseconds storeLossDetectionTime { 4000 };
    /// Unanswered probes while the failure domain responds.
    constexpr uint32_t unansweredProbesForAbsence = 2;
    /// Callers acknowledge responses this long after a domain has fallen silent.
    constexpr Base::milliseconds delayedResponseTime { 100 };
    /// A handshake may be completed this long after its server has ended; a later one shows that the process runs.
    constexpr Base::milliseconds delayedHandshakeTimeout { 500 };
    /// As long as the load reports of a peer are used.
    constexpr Base::milliseconds reportLifetime { 1000 };
    /// Limits the probes in each interval of 250 ms while a whole failure domain is down.
    constexpr std::size_t maximumRepeatedProbes = 64;
    /// Limits the size of reports.
    constexpr std::size_t maximumReportedSuspects = 2000;

}

void RestartSuspicion::setStoreReachable(Base::TimePoint now, bool isReachable)
{
    if (isReachable == isStoreReachable_)
        return;
    isStoreReachable_ = isReachable;
    if (isReachable) {
        confirmationEndsAt_ = now + options_.confirmationTime;
        return;
    }
    servers_.forEach([&](ServerIndex, Server& server) {
        auto& evidence = server.restart;
        const bool isRecent
            = evidence.absentAt != Base::TimePoint {} && now - evidence.absentAt <= storeLossDetectionTime;
        if (isRecent && now >= evidence.ownColdUntil)
            suspect(server);
    });
}

void RestartSuspicion::recordProbe(Base::TimePoint now, const ServerProbed& result)
{
    const auto index = servers_.find(result.server);
    if (!index || servers_.at(*index).restart.ignoresProbes)
        return;
    auto& server = servers_.at(*index);
    if (result.answer == ProbeAnswer::Accepted) {
        recordPresence(now, server);
        return;
    }
    if (result.answer == ProbeAnswer::Refused) {
        recordAbsence(now, server);
        return;
    }
    // A probe that was not made counts as reachable, and shows nothing.
    if (!result.isReachable && !isStoreReachable_)
        recordUnanswered(now, server);
}

void RestartSuspicion::recordUnanswered(Base::TimePoint now, Server& server)
{
    auto& evidence = server.restart;
    if (server.lastResponseAt > server.lastProbeAt) {
        evidence.unansweredSince = {};
        evidence.unansweredProbes = 0;
        return;
    }
    if (evidence.unansweredSince == Base::TimePoint {})
        evidence.unansweredSince = now;
    if (!hasDomainRespondedSince(evidence.unansweredSince + delayedResponseTime, server))
        return;
    // The first of these probes may have begun before the domain responded again.
    if (++evidence.unansweredProbes >= unansweredProbesForAbsence)
        recordAbsence(now, server);
}

bool RestartSuspicion::hasDomainRespondedSince(Base::TimePoint since, const Server& except)
{
    bool hasResponded = false;
    servers_.forEach([&](ServerIndex, const Server& server) {
        hasResponded |= &server != &except && server.domain == except.domain && server.lastResponseAt > since;
    });
    return hasResponded;
}

void RestartSuspicion::recordAbsence(Base::TimePoint now, Server& server)
{
    auto& evidence = server.restart;
    // A server that completes handshakes and refuses connections does not listen for them.
    if (evidence.isAbsent && server.lastHandshakeAt > evidence.absentAt + delayedHandshakeTimeout) {
        evidence = { .ignoresProbes = true };
        return;
    }
    if (!evidence.isAbsent)
        evidence.absentAt = now;
    // The store will tell whether the server has started again.
    if (isStoreReachable_)
        return;
    suspect(server);
}

void RestartSuspicion::suspect(Server& server)
{
    auto& evidence = server.restart;
    if (evidence.isAbsent || options_.warmUpOf(server) <= Base::milliseconds(0))
        return;
    evidence.isAbsent = true;
    evidence.ownColdUntil = Base::TimePoint::max();
    ++suspicionCount_;
}

void RestartSuspicion::recordPresence(Base::TimePoint now, Server& server)
{
    auto& evidence = server.restart;
    evidence.unansweredSince = {};
    evidence.unansweredProbes = 0;
    if (!evidence.isAbsent)
        return;
    evidence.isAbsent = false;
    evidence.ownColdUntil = now + options_.warmUpOf(server);
}

void RestartSuspicion::recordEntry(Base::TimePoint now, BackendServerNumber number, bool isRestart)
{
    const auto index = servers_.find(number);
    // An unchanged process may have written its entry before it ended.
    if (!index || (!isRestart && !isStoreReachable_))
        return;
    auto& evidence = servers_.at(*index).restart;
    evidence = { .ignoresProbes = evidence.ignoresProbes };
    if (isStoreReachable_ && now < confirmationEndsAt_)
        evidence.confirmedUntil = confirmationEndsAt_;
}

void RestartSuspicion::acceptReport(Base::TimePoint now, std::span<const BackendServerNumber> suspects)
{
    if (isStoreReachable_ && now >= confirmationEndsAt_)
        return;
    for (const auto number : suspects) {
        const auto index = servers_.find(number);
        if (!index)
            continue;
        auto& server = servers_.at(*index);
        const auto warmUp = options_.warmUpOf(server);
        if (warmUp <= Base::milliseconds(0) || now < server.restart.confirmedUntil)
            continue;
        // The peer goes on reporting the server for as long as it suspects it.
        auto& coldUntil = server.restart.peersColdUntil;
        coldUntil = now < coldUntil ? std::max(coldUntil, now + reportLifetime) : now + warmUp;
    }
}

void RestartSuspicion::expire(Base::TimePoint now)
{
    if (!isStoreReachable_ || confirmationEndsAt_ == Base::TimePoint {} || now < confirmationEndsAt_)
        return;
    confirmationEndsAt_ = {};
    servers_.forEach(
        [](ServerIndex, Server& server) { server.restart = { .ignoresProbes = server.restart.ignoresProbes }; });
}

std::vector<BackendServerNumber> RestartSuspicion::ownSuspects(Base::TimePoint now)
{
    std::vector<BackendServerNumber> suspects;
    servers_.forEach([&](ServerIndex, const Server& server) {
        if (now < server.restart.ownColdUntil && suspects.size() < maximumReportedSuspects)
            suspects.push_back(server.entry.number);
    });
    return suspects;
}

std::vector<ServerIndex> RestartSuspicion::serversToProbe()
{
    std::vector<ServerIndex> unknown;
    if (isStoreReachable_ && confirmationEndsAt_ == Base::TimePoint {})
        return unknown;
    servers_.forEach([&](ServerIndex index, const Server& server) {
        const auto& evidence = server.restart;
        if (evidence.isAbsent || (!isStoreReachable_ && evidence.unansweredSince != Base::TimePoint {}))
            unknown.push_back(index);
    });
    std::ranges::sort(unknown, {}, [&](ServerIndex index) { return servers_.at(index).lastProbeAt; });
    if (unknown.size() > maximumRepeatedProbes)
        unknown.resize(maximumRepeatedProbes);
    return unknown;
}

}
