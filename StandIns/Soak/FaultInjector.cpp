#include "FaultInjector.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <nlohmann/json.hpp>

namespace StandIn {

namespace {

    using Base::milliseconds;

    constexpr milliseconds minimumFaultInterval { 200 };
    constexpr uint64_t faultIntervalSpreadMilliseconds = 1500;
    constexpr milliseconds minimumFaultDuration { 500 };
    constexpr uint64_t faultDurationSpreadMilliseconds = 3500;
    /// How long a leaving server keeps serving after it announced that it leaves, as on the platform.
    constexpr milliseconds drainDuration { 3400 };
    constexpr milliseconds heartbeatTimeout { 3000 };
    constexpr milliseconds addressReuseDelay { 2000 };
    constexpr milliseconds disturbanceInterval { 100 };
    /// Seeds below this value use only the original kinds of fault, so that seeds kept as regression cases stay
    /// reproducible.
    constexpr uint64_t allKindsSeedThreshold = 1000;
    constexpr std::size_t originalKindCount = 21;
    /// The same for the kinds of fault without a store that comes back from a copy.
    constexpr uint64_t restoredStoreSeedThreshold = 2000;
    /// The same for the kinds of fault without entries of other writers.
    constexpr uint64_t foreignEntriesSeedThreshold = 3000;
    constexpr uint64_t heartbeatMilliseconds = 1200;
    constexpr milliseconds restoreOutage { 500 };
    constexpr uint64_t rewriteSpreadMilliseconds = 1900;

}

FaultInjector::FaultInjector(Deployment& deployment)
    : deployment_(deployment)
{
}

void FaultInjector::plan(milliseconds begin, milliseconds end)
{
    constexpr std::array kinds { Kind { "restart gracefully", &FaultInjector::restartGracefully },
        Kind { "kill an entry VM", &FaultInjector::killEntryVm },
        Kind { "kill several entry VMs", &FaultInjector::killSeveral },
        Kind { "pause an entry VM", &FaultInjector::pauseEntryVm },
        Kind { "reload settings", &FaultInjector::reloadSettings },
        Kind { "store outage", &FaultInjector::storeOutage },
        Kind { "store outage for some entry VMs", &FaultInjector::storeOutageForSome },
        Kind { "store drops write responses", &FaultInjector::dropStoreResponses },
        Kind { "store is slow", &FaultInjector::slowStore },
        Kind { "store drops its history", &FaultInjector::dropStoreHistory },
        Kind { "block peer links", &FaultInjector::blockPeerLinks },
        Kind { "delay peer links", &FaultInjector::delayPeerLinks },
        Kind { "reset peer links", &FaultInjector::resetPeerLinks },
        Kind { "partition a zone", &FaultInjector::partitionZone },
        Kind { "replace a server", &FaultInjector::replaceServer },
        Kind { "crash a server", &FaultInjector::crashServer },
        Kind { "reuse an address", &FaultInjector::reuseAddress },
        Kind { "server entries expire in a store outage", &FaultInjector::expireServerEntries },
        Kind { "evacuate a zone", &FaultInjector::evacuateZone },
        Kind { "change routes", &FaultInjector::changeRoutes },
        Kind { "rewrite the configuration repeatedly", &FaultInjector::rewriteConfiguration },
        Kind { "store removes entry VM records", &FaultInjector::removeEntryVmRecords },
        Kind { "store comes back from a copy", &FaultInjector::restoreStoreCopy },
        Kind { "another writer's entry", &FaultInjector::writeForeignEntry } };
    static_assert(kinds.size() == originalKindCount + 3);
    auto kindCount = kinds.size();
    if (deployment_.seed() < allKindsSeedThreshold)
        kindCount = originalKindCount;
    else if (deployment_.seed() < restoredStoreSeedThreshold)
        kindCount = originalKindCount + 1;
    else if (deployment_.seed() < foreignEntriesSeedThreshold)
        kindCount = originalKindCount + 2;
    auto& random = deployment_.random();
    for (auto at = begin; at < end;) {
        const auto& kind = kinds[random.below(kindCount)];
        auto duration = minimumFaultDuration + milliseconds(random.below(faultDurationSpreadMilliseconds));
        duration = std::min(duration, end - at + minimumFaultDuration);
        schedule_.push_back(
            std::to_string(at.count()) + " ms: " + kind.name + " (" + std::to_string(duration.count()) + " ms)");
        after(at, [this, action = kind.action, duration] { (this->*action)(duration); });
        at += minimumFaultInterval + milliseconds(random.below(faultIntervalSpreadMilliseconds));
    }
}

void FaultInjector::after(milliseconds delay, std::function<void()> action)
{
    deployment_.loop().after(delay, std::move(action));
}

void FaultInjector::repeatFor(milliseconds time, const std::function<void()>& action)
{
    action();
    if (time <= milliseconds(0))
        return;
    after(disturbanceInterval, [this, time, action] { repeatFor(time - disturbanceInterval, action); });
}

std::size_t FaultInjector::randomEntryVm() { return deployment_.random().below(deployment_.entryVmCount()); }

const std::string& FaultInjector::randomZone()
{
    const auto& zones = deployment_.zones();
    return zones[deployment_.random().below(zones.size())];
}

FleetServer* FaultInjector::randomServer(const std::string& service)
{
    std::vector<FleetServer*> candidates;
    for (const auto& server : deployment_.servers()) {
        const bool isStaying = server->isAlive() && server->record().leavingSince == Base::TimePoint::max();
        if (isStaying && server->options().service == service)
            candidates.push_back(server.get());
    }
    // At least three servers must remain to serve requests.
    return candidates.size() > 3 ? candidates[deployment_.random().below(candidates.size())] : nullptr;
}

void FaultInjector::restartGracefully(milliseconds)
{
    const auto index = randomEntryVm();
    deployment_.entryVms()[index].isExitExpected = true;
    deployment_.process(index).signal(SIGTERM);
}

void FaultInjector::killEntryVm(milliseconds duration)
{
    const auto index = randomEntryVm();
    auto& entryVm = deployment_.entryVms()[index];
    entryVm.isExitExpected = true;
    deployment_.process(index).signal(SIGKILL);
    repeatFor(std::min(duration, milliseconds(1000)), [this, index] { deployment_.markDisturbed(index); });
}

void FaultInjector::killSeveral(milliseconds duration)
{
    for (std::size_t index = 0; index < deployment_.entryVmCount(); ++index) {
        if (!deployment_.random().chance(0.6))
            continue;
        deployment_.entryVms()[index].isExitExpected = true;
        deployment_.process(index).signal(SIGKILL);
        repeatFor(std::min(duration, milliseconds(1000)), [this, index] { deployment_.markDisturbed(index); });
    }
}

void FaultInjector::pauseEntryVm(milliseconds duration)
{
    const auto index = randomEntryVm();
    deployment_.process(index).signal(SIGSTOP);
    repeatFor(duration, [this, index] { deployment_.markDisturbed(index); });
    after(duration, [this, index] { deployment_.process(index).signal(SIGCONT); });
}

void FaultInjector::reloadSettings(milliseconds) { deployment_.process(randomEntryVm()).signal(SIGHUP); }

void FaultInjector::injectStoreFault(milliseconds duration, const StoreFault& fault)
{
    deployment_.setStoreFault(fault);
    repeatFor(duration, [this] { deployment_.invariants().markAllDisturbed(deployment_.loop().now()); });
    after(duration, [this] { deployment_.setStoreFault({}); });
}

void FaultInjector::storeOutage(milliseconds duration)
{
    const auto outageKind = deployment_.random().below(3);
    injectStoreFault(duration,
        { .isUnavailable = outageKind == 0, .isUnresponsive = outageKind == 1, .resetsConnections = outageKind == 2 });
}

void FaultInjector::storeOutageForSome(milliseconds duration)
{
    const auto outageKind = deployment_.random().below(3);
    const StoreFault fault {
        .isUnavailable = outageKind == 0, .isUnresponsive = outageKind == 1, .resetsConnections = outageKind == 2
    };
    for (auto& entryVm : deployment_.entryVms()) {
        if (!deployment_.random().chance(0.5))
            continue;
        entryVm.store->setFault(fault);
        after(duration, [&entryVm] { entryVm.store->setFault({}); });
    }
    repeatFor(duration, [this] { deployment_.invariants().markAllDisturbed(deployment_.loop().now()); });
}

void FaultInjector::dropStoreResponses(milliseconds duration)
{
    injectStoreFault(duration, { .dropsWriteResponses = true });
}

void FaultInjector::slowStore(milliseconds duration) { injectStoreFault(duration, { .delay = milliseconds(250) }); }

void FaultInjector::dropStoreHistory(milliseconds)
{
    deployment_.records().dropHistory();
    deployment_.invariants().markAllDisturbed(deployment_.loop().now());
}

void FaultInjector::removeEntryVmRecords(milliseconds duration)
{
    for (std::size_t index = 0; index < deployment_.entryVmCount(); ++index) {
        if (!deployment_.random().chance(0.5))
            continue;
        // Only the records are removed; their leases stay valid.
        deployment_.records().remove("entry/" + deployment_.process(index).options().advertised.toString());
    }
    repeatFor(duration, [this] { deployment_.invariants().markAllDisturbed(deployment_.loop().now()); });
}

void FaultInjector::restoreStoreCopy(milliseconds duration)
{
    if (isCopyKept_)
        return;
    isCopyKept_ = true;
    deployment_.records().keepCopy();
    after(duration, [this] {
        injectStoreFault(restoreOutage, { .resetsConnections = true });
        after(restoreOutage, [this] {
            deployment_.records().restoreCopy();
            isCopyKept_ = false;
            rewriteLostRecords();
        });
    });
}

void FaultInjector::rewriteLostRecords()
{
    repeatFor(milliseconds(rewriteSpreadMilliseconds),
        [this] { deployment_.invariants().markAllDisturbed(deployment_.loop().now()); });
    auto& records = deployment_.records();
    deployment_.rewriteConfiguration();
    for (const auto& zone : deployment_.zones()) {
        if (zone != evacuatedZone_)
            records.remove("op/evacuate/" + zone);
    }
    if (evacuatedZone_)
        records.put("op/evacuate/" + *evacuatedZone_, "{}");
    for (const auto& server : deployment_.servers()) {
        after(milliseconds(deployment_.random().below(rewriteSpreadMilliseconds)), [server = server.get()] {
            if (server->isAlive())
                server->rewriteEntry();
        });
        if (!server->isAlive())
            after(heartbeatTimeout, [server = server.get()] { server->removeEntry(); });
    }
}

void FaultInjector::blockPeerLinks(milliseconds duration)
{
    const auto index = randomEntryVm();
    const auto direction = deployment_.random().below(3);
    auto& proxy = *deployment_.entryVms()[index].proxy;
    proxy.setFault({ .dropsInbound = direction != 1, .dropsOutbound = direction != 0 });
    repeatFor(duration, [this, index] { deployment_.markDisturbed(index); });
    after(duration, [&proxy] { proxy.setFault({}); });
}

void FaultInjector::delayPeerLinks(milliseconds duration)
{
    const auto index = randomEntryVm();
    auto& proxy = *deployment_.entryVms()[index].proxy;
    proxy.setFault({ .delay = milliseconds(300) });
    repeatFor(duration, [this, index] { deployment_.markDisturbed(index); });
    after(duration, [&proxy] { proxy.setFault({}); });
}

void FaultInjector::resetPeerLinks(milliseconds)
{
    const auto index = randomEntryVm();
    deployment_.entryVms()[index].proxy->resetConnections();
    deployment_.markDisturbed(index);
}

void FaultInjector::partitionZone(milliseconds duration)
{
    const auto zone = randomZone();
    const bool isOneWay = deployment_.random().chance(0.3);
    auto& blockedDirections = deployment_.network().blockedDirections;
    std::vector<std::pair<std::string, std::string>> added;
    for (const auto& other : deployment_.zones()) {
        if (other == zone)
            continue;
        added.emplace_back(zone, other);
        if (!isOneWay)
            added.emplace_back(other, zone);
    }
    blockedDirections.insert(added.begin(), added.end());
    repeatFor(duration, [this] { deployment_.invariants().markAllDisturbed(deployment_.loop().now()); });
    after(duration, [&blockedDirections, added] {
        for (const auto& cut : added)
            blockedDirections.erase(cut);
    });
}

void FaultInjector::replaceServer(milliseconds)
{
    auto* server = randomServer("rota");
    if (server == nullptr)
        return;
    deployment_.addServer(server->options().service, server->options().zone);
    server->drain(deployment_.loop().now());
    after(drainDuration, [this, server] {
        // Flows that were open when it announced that it leaves have ended by now.
        deployment_.removeServer(*server);
    });
}

void FaultInjector::crashServer(milliseconds)
{
    auto* server = randomServer("rota");
    if (server == nullptr)
        return;
    const auto zone = server->options().zone;
    server->crash(deployment_.loop().now());
    deployment_.invariants().markAllDisturbed(deployment_.loop().now());
    after(heartbeatTimeout, [this, server, zone] {
        server->removeEntry();
        deployment_.addServer("rota", zone);
    });
}

void FaultInjector::reuseAddress(milliseconds)
{
    auto* server = randomServer("rota");
    if (server == nullptr)
        return;
    const auto address = server->address();
    const auto zone = server->options().zone;
    server->crash(deployment_.loop().now());
    deployment_.invariants().markAllDisturbed(deployment_.loop().now());
    after(addressReuseDelay, [this, address, zone] { deployment_.addServer("sheets", zone, address); });
    after(heartbeatTimeout, [this, server, zone] {
        server->removeEntry();
        deployment_.addServer("rota", zone);
    });
}

void FaultInjector::expireServerEntries(milliseconds duration)
{
    injectStoreFault(duration, { .isUnavailable = true });
    std::vector<FleetServer*> expired;
    for (const auto& server : deployment_.servers()) {
        const bool isStaying = server->isAlive() && server->record().leavingSince == Base::TimePoint::max();
        if (isStaying && deployment_.random().chance(0.7))
            expired.push_back(server.get());
    }
    after(duration / 2, [expired] {
        for (const auto* server : expired)
            server->removeEntry();
    });
    for (auto* server : expired) {
        const auto returnDelay = duration + milliseconds(deployment_.random().below(1900));
        after(returnDelay, [server] {
            if (server->isAlive())
                server->rewriteEntry();
        });
    }
}

void FaultInjector::writeForeignEntry(milliseconds duration)
{
    auto& random = deployment_.random();
    auto* server = randomServer("rota");
    const auto* other = randomServer("rota");
    if (server == nullptr || other == nullptr)
        return;
    const std::array services { "rota", "sheets", "rota-trial" };
    const auto& id = server->options().id;
    const std::array keys { "x" + id, id, std::string("i-5c0ffee5") };
    const auto& key = keys[random.below(keys.size())];
    const auto address = key == keys.back() ? server->address() : other->address();
    const auto* service = key == id ? services.back() : services[random.below(services.size())];
    const nlohmann::json entry { { "service", service }, { "address", address.toString() },
        { "zone", server->options().zone }, { "version", "v1" }, { "concurrency", 2 }, { "state", "ready" },
        { "warmup_left_ms", 0 }, { "sequence", 1 }, { "born", 1'700'000'005'000 } };
    deployment_.records().put("servers/" + key, random.chance(0.2) ? "unreadable" : entry.dump());
    if (key == id) {
        after(milliseconds(random.below(heartbeatMilliseconds)), [server] {
            if (server->isAlive())
                server->rewriteEntry();
        });
        return;
    }
    after(duration, [this, key] { deployment_.records().remove("servers/" + key); });
}

void FaultInjector::evacuateZone(milliseconds duration)
{
    if (isEvacuating_)
        return;
    isEvacuating_ = true;
    const auto zone = randomZone();
    deployment_.records().put("op/evacuate/" + zone, "{}");
    evacuatedZone_ = zone;
    deployment_.invariants().recordEvacuation(deployment_.loop().now(), zone);
    after(duration + milliseconds(2000), [this, zone] {
        deployment_.records().remove("op/evacuate/" + zone);
        evacuatedZone_.reset();
        deployment_.invariants().recordEvacuationEnd(zone);
        isEvacuating_ = false;
    });
}

void FaultInjector::changeRoutes(milliseconds duration)
{
    const auto port = nextRoutePort_++;
    deployment_.addRoute(port);
    after(duration, [this, port] { deployment_.removeRoute(port); });
}

void FaultInjector::rewriteConfiguration(milliseconds duration)
{
    repeatFor(duration, [this] { deployment_.writeConfiguration(); });
}

}
