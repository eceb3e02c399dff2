#include <LibFlow/Request/Admission.h>
#include <algorithm>
#include <cmath>

namespace Flow {

namespace {

    /// Limit of a backend server's open flows: the mean for its weight times this factor, plus this allowance.
    constexpr double loadCapFactor = 1.03;
    constexpr uint32_t loadCapAllowance = 2;
    /// Limit per slot of open flows whose first request has not been answered yet.
    constexpr uint32_t pendingFlowsPerSlotLimit = 2;

    uint32_t subtract(uint32_t value, uint32_t amount) { return value > amount ? value - amount : 0; }

    uint32_t scale(uint32_t limit, double warmth)
    {
        return warmth >= 1 ? limit : std::max(1U, static_cast<uint32_t>(limit * warmth));
    }

}

bool Admission::maySpill(const Configuration::PortClass& portClass)
{
    return portClass.idempotent || portClass.protocol == Configuration::Protocol::Tcp;
}

bool Admission::needsSlot(const Configuration::PortClass& portClass)
{
    if (portClass.slotUse == Configuration::SlotUse::PerRequest)
        return portClass.protocol == Configuration::Protocol::Udp;
    return portClass.slotUse == Configuration::SlotUse::PerFlow;
}

bool Admission::awaitsRequest(const Configuration::PortClass& portClass)
{
    return portClass.slotUse == Configuration::SlotUse::PerRequest
        && portClass.protocol == Configuration::Protocol::Tcp;
}

std::optional<BackendServerId> Admission::choose(TimePoint now, const Request& request, Balance balance) const
{
    if (request.preferred.isValid() && request.preferred != request.excluded
        && hasFreeCapacity(now, request, request.preferred)) {
        const auto& server = *state_.routing.findServer(request.preferred)->server;
        const auto& runtime = state_.runtimes[request.preferred];
        bool isNear = runtime.localUsage.connections < loadCap(now, *request.service, server)
            && runtime.warmUp.hasCredit(now, server.warmUp);
        if (balance == Balance::Any || isNear || request.preferredOnly)
            return request.preferred;
    }
    if (!maySpill(*request.portClass) || request.preferredOnly)
        return std::nullopt;
    return chooseOther(now, request, balance);
}

std::optional<BackendServerId> Admission::chooseOther(TimePoint now, const Request& request, Balance balance) const
{
    std::optional<BackendServerId> best;
    double bestLoad = 0;
    for (const auto& server : request.service->backendServers) {
        if (server.id == request.preferred || server.id == request.excluded
            || !hasFreeCapacity(now, request, server.id))
            continue;
        auto& runtime = state_.runtimes[server.id];
        if (runtime.warmUp.warmth(now, server.warmUp) < 1)
            continue;
        if (balance == Balance::Near && runtime.localUsage.connections >= loadCap(now, *request.service, server))
            continue;
        double load = (runtime.localUsage.connections + 1.0) / server.weight;
        if (needsSlot(*request.portClass))
            load += (runtime.localUsage.slots + 1.0) / server.slots;
        if (!best || load < bestLoad) {
            best = server.id;
            bestLoad = load;
        }
    }
    return best;
}

bool Admission::hasFreeCapacity(TimePoint now, const Request& request, BackendServerId server) const
{
    if (!isEligible(now, server))
        return false;
    auto free = freeCapacity(now, server);
    // Open flows that have not sent their first request yet will need slots; more of them would only queue.
    const auto& runtime = state_.runtimes[server];
    uint32_t slots = free.slots + runtime.localUsage.slots;
    bool hasEnoughPendingFlows = awaitsRequest(*request.portClass)
        && runtime.awaitingFirstResponse + runtime.waitingForSlot >= std::max(1U, slots) * pendingFlowsPerSlotLimit;
    if (hasEnoughPendingFlows)
        return false;
    return free.connections > 0 && (free.slots > 0 || !needsSlot(*request.portClass));
}

Usage Admission::freeCapacity(TimePoint now, BackendServerId id) const
{
    const auto& server = *state_.routing.findServer(id)->server;
    const auto& runtime = state_.runtimes[id];
    auto allowed = runtime.share.allowed(now);
    double warmth = runtime.warmUp.warmth(now, server.warmUp);
    return {
        .connections
        = subtract(std::min(allowed.connections, scale(server.connections, warmth)), runtime.localUsage.connections),
        .slots = subtract(std::min(allowed.slots, scale(server.slots, warmth)), runtime.localUsage.slots),
    };
}

bool Admission::isEligible(TimePoint now, BackendServerId id) const
{
    const auto* entry = state_.routing.findServer(id);
    if (state_.isLeaving || !entry || !entry->acceptsNewFlows() || !placement_.isOwnedHere(id))
        return false;
    const auto& health = state_.runtimes[id].health;
    return !health.isEjected(now) && (health.isReportedHealthy() || isHealthReportIgnored(now, *entry->service));
}

bool Admission::isHealthReportIgnored(TimePoint now, const Configuration::Service& service) const
{
    auto total = loadView_.sum(now, service.id);
    for (const auto& server : service.backendServers) {
        if (!placement_.isOwnedHere(server.id))
            continue;
        ++total.servers;
        total.unhealthy += state_.runtimes[server.id].health.isReportedHealthy() ? 0 : 1;
    }
    return total.unhealthy * 2 > total.servers;
}

double Admission::meanLoad(TimePoint now, const Configuration::Service& service) const
{
    auto total = loadView_.sum(now, service.id);
    double weight = total.weight;
    uint64_t connections = total.connections;
    for (const auto& other : service.backendServers) {
        const auto* entry = state_.routing.findServer(other.id);
        if (!entry->acceptsNewFlows() || !placement_.isOwnedHere(other.id))
            continue;
        auto& runtime = state_.runtimes[other.id];
        connections += runtime.localUsage.connections;
        weight += other.weight * runtime.warmUp.warmth(now, other.warmUp);
    }
    return weight > 0 ? static_cast<double>(connections + 1) / weight : 0;
}

uint32_t Admission::loadCap(
    TimePoint now, const Configuration::Service& service, const Configuration::BackendServer& server) const
{
    double share = server.weight * state_.runtimes[server.id].warmUp.warmth(now, server.warmUp);
    return static_cast<uint32_t>(std::ceil(meanLoad(now, service) * share * loadCapFactor)) + loadCapAllowance;
}

LoadDigest Admission::digest(TimePoint now, const Configuration::Service& service) const
{
    LoadDigest digest { .service = service.id };
    double bestLoad = 0;
    for (const auto& server : service.backendServers) {
        if (!placement_.isOwnedHere(server.id))
            continue;
        ++digest.servers;
        auto& runtime = state_.runtimes[server.id];
        digest.unhealthy += runtime.health.isReportedHealthy() ? 0 : 1;
        const auto* entry = state_.routing.findServer(server.id);
        if (!entry->acceptsNewFlows())
            continue;
        double warmth = runtime.warmUp.warmth(now, server.warmUp);
        digest.connections += runtime.localUsage.connections;
        digest.weight += static_cast<uint32_t>(server.weight * warmth);
        if (warmth < 1 || !isEligible(now, server.id))
            continue;
        auto free = freeCapacity(now, server.id);
        digest.freeSlots += free.slots;
        digest.freeConnections += free.connections;
        bool mayServe = free.connections > 0 && (free.slots > 0 || !digest.best.isValid());
        double load = (runtime.localUsage.connections + 1.0) / server.weight;
        if (mayServe && (!digest.best.isValid() || load < bestLoad)) {
            bestLoad = load;
            digest.best = server.id;
        }
    }
    return digest;
}

}
