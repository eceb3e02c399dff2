#include <LibFleet/InvariantChecker.h>

#include <algorithm>

namespace StandIn {

namespace {

    /// Number of consecutive packets of an open flow at servers other than its own that counts as a violation.
    constexpr int misroutedPacketThreshold = 3;
    constexpr std::size_t reportedViolationLimit = 20;

}

int64_t InvariantChecker::secondOf(Base::TimePoint now)
{
    return std::chrono::duration_cast<Base::seconds>(now.time_since_epoch()).count();
}

void InvariantChecker::recordViolation(Base::TimePoint now, const std::string& what)
{
    if (violations_.size() < reportedViolationLimit) {
        const auto at = std::chrono::duration_cast<Base::milliseconds>(now.time_since_epoch()).count();
        violations_.push_back("at " + std::to_string(at) + " ms: " + what);
    }
}

void InvariantChecker::markEntryVmDisturbed(Base::TimePoint now, Base::Ipv4Address address)
{
    disturbedAt_[address] = now;
    lastDisturbanceAt_ = std::max(lastDisturbanceAt_, now);
}

void InvariantChecker::markAllDisturbed(Base::TimePoint now)
{
    allDisturbedAt_ = now;
    lastDisturbanceAt_ = std::max(lastDisturbanceAt_, now);
}

bool InvariantChecker::isSettled(Base::TimePoint now, Base::Ipv4Address entryVm) const
{
    const auto found = disturbedAt_.find(entryVm);
    const bool isDisturbed = found != disturbedAt_.end() && now - found->second < bounds_.settlingTime;
    return !isDisturbed && now - allDisturbedAt_ >= bounds_.settlingTime;
}

bool InvariantChecker::areAllSettled(Base::TimePoint now) const
{
    return now - lastDisturbanceAt_ >= bounds_.settlingTime;
}

void InvariantChecker::recordRouteAdded(const Base::Ipv4Endpoint& endpoint, const std::string& service)
{
    allowedServices_[endpoint].insert(service);
    routeRemovedAt_.erase(endpoint);
}

void InvariantChecker::recordRouteRemoved(Base::TimePoint now, const Base::Ipv4Endpoint& endpoint)
{
    routeRemovedAt_[endpoint] = now;
}

void InvariantChecker::recordEvacuation(Base::TimePoint now, const std::string& zone) { evacuatedAt_[zone] = now; }

void InvariantChecker::recordEvacuationEnd(const std::string& zone) { evacuatedAt_.erase(zone); }

void InvariantChecker::recordFirstPacket(Base::TimePoint now, const Base::Ipv4Endpoint& caller,
    const Base::Ipv4Endpoint& route, const Server& server, Base::Ipv4Address entryVm)
{
    const auto flow = caller.toString() + " to " + route.toString() + " at " + server.id;
    const auto allowed = allowedServices_.find(route);
    if (allowed == allowedServices_.end() || !allowed->second.contains(server.service))
        recordViolation(now, "wrong service " + server.service + ": " + flow);
    if (!isSettled(now, entryVm))
        return;
    const auto removed = routeRemovedAt_.find(route);
    if (removed != routeRemovedAt_.end() && now - removed->second > bounds_.configurationTimeout)
        recordViolation(now, "a removed route was still in use: " + flow);
    if (server.leavingSince != Base::TimePoint::max() && now - server.leavingSince > bounds_.drainTimeout)
        recordViolation(now, "new flow at a leaving backend server: " + flow);
    const auto evacuation = evacuatedAt_.find(server.zone);
    if (evacuation != evacuatedAt_.end() && now - evacuation->second > bounds_.evacuationTimeout)
        recordViolation(now, "new flow in an evacuated failure domain: " + flow);
}

void InvariantChecker::recordFlowOpened(const Base::Ipv4Endpoint& caller, const Server& server)
{
    flows_[caller] = { .server = &server };
}

void InvariantChecker::recordFlowClosed(const Base::Ipv4Endpoint& caller) { flows_.erase(caller); }

void InvariantChecker::recordLaterPacket(
    Base::TimePoint now, const Base::Ipv4Endpoint& caller, const Server& server, bool isOpenHere)
{
    const auto found = flows_.find(caller);
    if (found == flows_.end())
        return;
    auto& flow = found->second;
    if (isOpenHere) {
        flow.misroutedPackets = 0;
        return;
    }
    const bool isUndisturbed = flow.server->isAlive && now - flow.server->disturbedAt >= bounds_.settlingTime;
    if (++flow.misroutedPackets >= misroutedPacketThreshold && isUndisturbed && areAllSettled(now))
        recordViolation(
            now, "packets of " + caller.toString() + ", open at " + flow.server->id + ", went to " + server.id);
}

void InvariantChecker::recordReset(Base::TimePoint now, const Base::Ipv4Endpoint& caller)
{
    lastReset_ = caller;
    const auto found = flows_.find(caller);
    if (found == flows_.end())
        return;
    const auto& server = *found->second.server;
    if (server.isAlive && now - server.disturbedAt >= bounds_.settlingTime && areAllSettled(now))
        recordViolation(now, "the open flow of " + caller.toString() + " at " + server.id + " was reset");
}

void InvariantChecker::recordCorruptPacket(Base::TimePoint now, const std::string& where)
{
    recordViolation(now, "a packet with an invalid checksum reached " + where);
}

void InvariantChecker::recordExecution(
    Base::TimePoint now, const std::string& request, bool isIdempotent, const Server& server)
{
    if (++executions_[request] > 1 && !isIdempotent)
        recordViolation(now, "request " + request + " was executed more than once, at " + server.id);
}

void InvariantChecker::recordFailure(Base::TimePoint now, const std::string& request, Base::milliseconds age)
{
    failures_.push_back(request);
    // Requests may fail only during disturbances; planned work must not interrupt any.
    if (areAllSettled(now - age) && areAllSettled(now))
        recordViolation(now, "request " + request + " failed although nothing was disturbed");
}

uint64_t InvariantChecker::servedCount() const
{
    uint64_t total = 0;
    for (const auto& [second, count] : servedInSecond_)
        total += count;
    return total;
}

}
