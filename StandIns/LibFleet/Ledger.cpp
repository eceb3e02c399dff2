#include <LibFleet/Ledger.h>

#include <algorithm>

namespace StandIn {

namespace {

    /// Packets of an open flow at other servers, none at its own in between, that break a promise.
    constexpr int misroutedPackets = 3;
    constexpr std::size_t reportedViolations = 20;

}

int64_t Ledger::secondOf(Base::TimePoint now)
{
    return std::chrono::duration_cast<Base::seconds>(now.time_since_epoch()).count();
}

void Ledger::violate(Base::TimePoint now, const std::string& what)
{
    if (violations_.size() < reportedViolations) {
        const auto at = std::chrono::duration_cast<Base::milliseconds>(now.time_since_epoch()).count();
        violations_.push_back("at " + std::to_string(at) + " ms: " + what);
    }
}

void Ledger::disturbEntryVm(Base::TimePoint now, Base::Ipv4Address address)
{
    disturbed_[address] = now;
    lastDisturbance_ = std::max(lastDisturbance_, now);
}

void Ledger::disturbEverything(Base::TimePoint now)
{
    allDisturbed_ = now;
    lastDisturbance_ = std::max(lastDisturbance_, now);
}

bool Ledger::isCalm(Base::TimePoint now, Base::Ipv4Address entryVm) const
{
    const auto found = disturbed_.find(entryVm);
    const bool isDisturbed = found != disturbed_.end() && now - found->second < bounds_.contact;
    return !isDisturbed && now - allDisturbed_ >= bounds_.contact;
}

bool Ledger::isAllCalm(Base::TimePoint now) const { return now - lastDisturbance_ >= bounds_.contact; }

void Ledger::routeAdded(const Base::Ipv4Endpoint& endpoint, const std::string& service)
{
    allowed_[endpoint].insert(service);
    removedRoutes_.erase(endpoint);
}

void Ledger::routeRemoved(Base::TimePoint now, const Base::Ipv4Endpoint& endpoint) { removedRoutes_[endpoint] = now; }

void Ledger::evacuated(Base::TimePoint now, const std::string& zone) { evacuations_[zone] = now; }

void Ledger::takenBack(const std::string& zone) { evacuations_.erase(zone); }

void Ledger::openingTaken(Base::TimePoint now, const Base::Ipv4Endpoint& caller, const Base::Ipv4Endpoint& route,
    const Server& server, Base::Ipv4Address entryVm)
{
    const auto flow = caller.toString() + " to " + route.toString() + " at " + server.id;
    const auto allowed = allowed_.find(route);
    if (allowed == allowed_.end() || !allowed->second.contains(server.service))
        violate(now, "wrong service " + server.service + ": " + flow);
    if (!isCalm(now, entryVm))
        return;
    const auto removed = removedRoutes_.find(route);
    if (removed != removedRoutes_.end() && now - removed->second > bounds_.configuration)
        violate(now, "a removed route was still used: " + flow);
    if (server.leavingSince != Base::TimePoint::max() && now - server.leavingSince > bounds_.drain)
        violate(now, "new flow at a leaving server: " + flow);
    const auto evacuation = evacuations_.find(server.zone);
    if (evacuation != evacuations_.end() && now - evacuation->second > bounds_.evacuation)
        violate(now, "new flow in an evacuated failure domain: " + flow);
}

void Ledger::opened(const Base::Ipv4Endpoint& caller, const Server& server) { flows_[caller] = { .server = &server }; }

void Ledger::closed(const Base::Ipv4Endpoint& caller) { flows_.erase(caller); }

void Ledger::packetTaken(Base::TimePoint now, const Base::Ipv4Endpoint& caller, const Server& server, bool isOwn)
{
    const auto found = flows_.find(caller);
    if (found == flows_.end())
        return;
    auto& flow = found->second;
    if (isOwn) {
        flow.packetsElsewhere = 0;
        return;
    }
    const bool isUndisturbed = flow.server->isAlive && now - flow.server->disturbedAt >= bounds_.contact;
    if (++flow.packetsElsewhere >= misroutedPackets && isUndisturbed && isAllCalm(now))
        violate(now, "packets of " + caller.toString() + ", open at " + flow.server->id + ", went to " + server.id);
}

void Ledger::resetSeen(Base::TimePoint now, const Base::Ipv4Endpoint& caller)
{
    lastReset_ = caller;
    const auto found = flows_.find(caller);
    if (found == flows_.end())
        return;
    const auto& server = *found->second.server;
    if (server.isAlive && now - server.disturbedAt >= bounds_.contact && isAllCalm(now))
        violate(now, "the open flow of " + caller.toString() + " at " + server.id + " was reset");
}

void Ledger::forgedPacket(Base::TimePoint now, const std::string& where)
{
    violate(now, "a packet that its sender did not write reached " + where);
}

void Ledger::ran(Base::TimePoint now, const std::string& request, bool isIdempotent, const Server& server)
{
    if (++runs_[request] > 1 && !isIdempotent)
        violate(now, "request " + request + " ran again, at " + server.id);
}

void Ledger::failed(Base::TimePoint now, const std::string& request, Base::milliseconds age)
{
    failures_.push_back(request);
    // Planned work, or nothing at all, cuts no request.
    if (isAllCalm(now - age) && isAllCalm(now))
        violate(now, "request " + request + " was not answered though nothing was disturbed");
}

uint64_t Ledger::servedCount() const
{
    uint64_t total = 0;
    for (const auto& [second, count] : servedInSecond_)
        total += count;
    return total;
}

}
