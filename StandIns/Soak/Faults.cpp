#include "Faults.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace StandIn {

namespace {

    using Base::milliseconds;

    constexpr milliseconds shortestPause { 200 };
    constexpr uint64_t longestPauseMilliseconds = 1500;
    constexpr milliseconds shortestFault { 500 };
    constexpr uint64_t faultSpreadMilliseconds = 3500;
    /// A leaving server serves this long after its report, as on the platform.
    constexpr milliseconds drainTime { 3400 };
    constexpr milliseconds heartbeatsUntilGone { 3000 };
    constexpr milliseconds addressReuse { 2000 };
    constexpr milliseconds disturbanceStep { 100 };
    /// Seeds below draw from the kinds of fault that there were when the first of them were kept as regression cases.
    constexpr uint64_t firstSeedOfAllKinds = 1000;
    constexpr std::size_t firstKinds = 21;

}

Faults::Faults(Deployment& deployment)
    : deployment_(deployment)
{
}

void Faults::plan(milliseconds begin, milliseconds end)
{
    constexpr std::array kinds { Kind { "restart gracefully", &Faults::restartGracefully },
        Kind { "kill an entry VM", &Faults::killEntryVm }, Kind { "kill several entry VMs", &Faults::killSeveral },
        Kind { "pause an entry VM", &Faults::pauseEntryVm }, Kind { "reload settings", &Faults::reloadSettings },
        Kind { "store outage", &Faults::storeOutage }, Kind { "store turns some away", &Faults::storeTurnsAway },
        Kind { "store loses answers", &Faults::storeLosesAnswers }, Kind { "store is slow", &Faults::storeIsSlow },
        Kind { "store forgets its history", &Faults::storeForgets }, Kind { "cut peer links", &Faults::cutPeerLinks },
        Kind { "delay peer links", &Faults::delayPeerLinks }, Kind { "reset peer links", &Faults::resetPeerLinks },
        Kind { "cut a zone", &Faults::cutZone }, Kind { "replace a server", &Faults::replaceServer },
        Kind { "crash a server", &Faults::crashServer }, Kind { "reuse an address", &Faults::reuseAddress },
        Kind { "entries lapse in an outage", &Faults::lapseEntries }, Kind { "evacuate a zone", &Faults::evacuate },
        Kind { "change routes", &Faults::changeRoutes }, Kind { "configuration storm", &Faults::configurationStorm },
        Kind { "store takes records", &Faults::takeRecords } };
    static_assert(kinds.size() == firstKinds + 1);
    const auto drawn = deployment_.seed() < firstSeedOfAllKinds ? firstKinds : kinds.size();
    auto& random = deployment_.random();
    for (auto at = begin; at < end;) {
        const auto& kind = kinds[random.below(drawn)];
        auto duration = shortestFault + milliseconds(random.below(faultSpreadMilliseconds));
        duration = std::min(duration, end - at + shortestFault);
        schedule_.push_back(
            std::to_string(at.count()) + " ms: " + kind.name + " (" + std::to_string(duration.count()) + " ms)");
        after(at, [this, action = kind.action, duration] { (this->*action)(duration); });
        at += shortestPause + milliseconds(random.below(longestPauseMilliseconds));
    }
}

void Faults::after(milliseconds delay, std::function<void()> action)
{
    deployment_.loop().after(delay, std::move(action));
}

void Faults::during(milliseconds time, const std::function<void()>& action)
{
    action();
    if (time <= milliseconds(0))
        return;
    after(disturbanceStep, [this, time, action] { during(time - disturbanceStep, action); });
}

std::size_t Faults::anyEntryVm() { return deployment_.random().below(deployment_.entryVmCount()); }

const std::string& Faults::anyZone()
{
    const auto& zones = deployment_.zones();
    return zones[deployment_.random().below(zones.size())];
}

FleetServer* Faults::anyServer(const std::string& service)
{
    std::vector<FleetServer*> alive;
    for (const auto& server : deployment_.servers()) {
        const bool isStaying = server->isAlive() && server->record().leavingSince == Base::TimePoint::max();
        if (isStaying && server->options().service == service)
            alive.push_back(server.get());
    }
    // Some must be left to serve.
    return alive.size() > 3 ? alive[deployment_.random().below(alive.size())] : nullptr;
}

void Faults::restartGracefully(milliseconds)
{
    const auto index = anyEntryVm();
    deployment_.entryVms()[index].isEndExpected = true;
    deployment_.process(index).signal(SIGTERM);
}

void Faults::killEntryVm(milliseconds duration)
{
    const auto index = anyEntryVm();
    auto& entryVm = deployment_.entryVms()[index];
    entryVm.isEndExpected = true;
    deployment_.process(index).signal(SIGKILL);
    during(std::min(duration, milliseconds(1000)), [this, index] { deployment_.disturb(index); });
}

void Faults::killSeveral(milliseconds duration)
{
    for (std::size_t index = 0; index < deployment_.entryVmCount(); ++index) {
        if (!deployment_.random().chance(0.6))
            continue;
        deployment_.entryVms()[index].isEndExpected = true;
        deployment_.process(index).signal(SIGKILL);
        during(std::min(duration, milliseconds(1000)), [this, index] { deployment_.disturb(index); });
    }
}

void Faults::pauseEntryVm(milliseconds duration)
{
    const auto index = anyEntryVm();
    deployment_.process(index).signal(SIGSTOP);
    during(duration, [this, index] { deployment_.disturb(index); });
    after(duration, [this, index] { deployment_.process(index).signal(SIGCONT); });
}

void Faults::reloadSettings(milliseconds) { deployment_.process(anyEntryVm()).signal(SIGHUP); }

void Faults::faultStore(milliseconds duration, const StoreFault& fault)
{
    deployment_.setStoreFault(fault);
    during(duration, [this] { deployment_.ledger().disturbEverything(deployment_.loop().now()); });
    after(duration, [this] { deployment_.setStoreFault({}); });
}

void Faults::storeOutage(milliseconds duration)
{
    const auto how = deployment_.random().below(3);
    faultStore(duration, { .refuses = how == 0, .isSilent = how == 1, .resets = how == 2 });
}

void Faults::storeTurnsAway(milliseconds duration)
{
    const auto how = deployment_.random().below(3);
    const StoreFault fault { .refuses = how == 0, .isSilent = how == 1, .resets = how == 2 };
    for (auto& entryVm : deployment_.entryVms()) {
        if (!deployment_.random().chance(0.5))
            continue;
        entryVm.store->setFault(fault);
        after(duration, [&entryVm] { entryVm.store->setFault({}); });
    }
    during(duration, [this] { deployment_.ledger().disturbEverything(deployment_.loop().now()); });
}

void Faults::storeLosesAnswers(milliseconds duration) { faultStore(duration, { .losesAnswers = true }); }

void Faults::storeIsSlow(milliseconds duration) { faultStore(duration, { .delay = milliseconds(250) }); }

void Faults::storeForgets(milliseconds)
{
    deployment_.records().dropHistory();
    deployment_.ledger().disturbEverything(deployment_.loop().now());
}

void Faults::takeRecords(milliseconds duration)
{
    for (std::size_t index = 0; index < deployment_.entryVmCount(); ++index) {
        if (!deployment_.random().chance(0.5))
            continue;
        // Their leases live on.
        deployment_.records().remove("entry/" + deployment_.process(index).options().advertised.toString());
    }
    during(duration, [this] { deployment_.ledger().disturbEverything(deployment_.loop().now()); });
}

void Faults::cutPeerLinks(milliseconds duration)
{
    const auto index = anyEntryVm();
    const auto how = deployment_.random().below(3);
    auto& proxy = *deployment_.entryVms()[index].proxy;
    proxy.setFault({ .cutsThere = how != 1, .cutsBack = how != 0 });
    during(duration, [this, index] { deployment_.disturb(index); });
    after(duration, [&proxy] { proxy.setFault({}); });
}

void Faults::delayPeerLinks(milliseconds duration)
{
    const auto index = anyEntryVm();
    auto& proxy = *deployment_.entryVms()[index].proxy;
    proxy.setFault({ .delay = milliseconds(300) });
    during(duration, [this, index] { deployment_.disturb(index); });
    after(duration, [&proxy] { proxy.setFault({}); });
}

void Faults::resetPeerLinks(milliseconds)
{
    const auto index = anyEntryVm();
    deployment_.entryVms()[index].proxy->resetConnections();
    deployment_.disturb(index);
}

void Faults::cutZone(milliseconds duration)
{
    const auto zone = anyZone();
    const bool isOneWay = deployment_.random().chance(0.3);
    auto& cuts = deployment_.network().cuts;
    std::vector<std::pair<std::string, std::string>> added;
    for (const auto& other : deployment_.zones()) {
        if (other == zone)
            continue;
        added.emplace_back(zone, other);
        if (!isOneWay)
            added.emplace_back(other, zone);
    }
    cuts.insert(added.begin(), added.end());
    during(duration, [this] { deployment_.ledger().disturbEverything(deployment_.loop().now()); });
    after(duration, [&cuts, added] {
        for (const auto& cut : added)
            cuts.erase(cut);
    });
}

void Faults::replaceServer(milliseconds)
{
    auto* server = anyServer("rota");
    if (server == nullptr)
        return;
    deployment_.addServer(server->options().service, server->options().zone);
    server->drain(deployment_.loop().now());
    after(drainTime, [this, server] {
        // Flows that were open when it said that it leaves have ended by now.
        deployment_.endServer(*server);
    });
}

void Faults::crashServer(milliseconds)
{
    auto* server = anyServer("rota");
    if (server == nullptr)
        return;
    const auto zone = server->options().zone;
    server->crash(deployment_.loop().now());
    deployment_.ledger().disturbEverything(deployment_.loop().now());
    after(heartbeatsUntilGone, [this, server, zone] {
        server->unlist();
        deployment_.addServer("rota", zone);
    });
}

void Faults::reuseAddress(milliseconds)
{
    auto* server = anyServer("rota");
    if (server == nullptr)
        return;
    const auto address = server->address();
    const auto zone = server->options().zone;
    server->crash(deployment_.loop().now());
    deployment_.ledger().disturbEverything(deployment_.loop().now());
    after(addressReuse, [this, address, zone] { deployment_.addServer("sheets", zone, address); });
    after(heartbeatsUntilGone, [this, server, zone] {
        server->unlist();
        deployment_.addServer("rota", zone);
    });
}

void Faults::lapseEntries(milliseconds duration)
{
    faultStore(duration, { .refuses = true });
    std::vector<FleetServer*> lapsed;
    for (const auto& server : deployment_.servers()) {
        const bool isStaying = server->isAlive() && server->record().leavingSince == Base::TimePoint::max();
        if (isStaying && deployment_.random().chance(0.7))
            lapsed.push_back(server.get());
    }
    after(duration / 2, [lapsed] {
        for (const auto* server : lapsed)
            server->unlist();
    });
    for (const auto* server : lapsed) {
        const auto back = duration + milliseconds(deployment_.random().below(1900));
        after(back, [server] {
            if (server->isAlive())
                server->registerAgain();
        });
    }
}

void Faults::evacuate(milliseconds duration)
{
    if (isEvacuating_)
        return;
    isEvacuating_ = true;
    const auto zone = anyZone();
    deployment_.records().put("op/evacuate/" + zone, "{}");
    deployment_.ledger().evacuated(deployment_.loop().now(), zone);
    after(duration + milliseconds(2000), [this, zone] {
        deployment_.records().remove("op/evacuate/" + zone);
        deployment_.ledger().takenBack(zone);
        isEvacuating_ = false;
    });
}

void Faults::changeRoutes(milliseconds duration)
{
    const auto port = nextRoute_++;
    deployment_.addRoute(port);
    after(duration, [this, port] { deployment_.removeRoute(port); });
}

void Faults::configurationStorm(milliseconds duration)
{
    during(duration, [this] { deployment_.writeConfiguration(); });
}

}
