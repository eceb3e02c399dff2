// The store is down and the leases run out meanwhile, or the processes of all entry VMs are killed at the same moment.
// Checks that a cold server gets no more requests in a second than the configuration says, summed over all entry VMs.

#include "Platform.h"

#include <csignal>
#include <iostream>

namespace {

using Review::Platform;

constexpr Base::milliseconds startTimeout { 10'000 };
constexpr Base::milliseconds timeBefore { 4000 };
constexpr Base::milliseconds outage { 4500 };
constexpr Base::milliseconds timeAfter { 6000 };
constexpr Base::milliseconds warmUpTime { 40'000 };
constexpr double warmUpPerSecond = 20;
constexpr double overshoot = 1.5;
constexpr double slack = 5;
constexpr double windowMs = 1000;
constexpr double requestsPerSecondOfZone = 60;

/// The most requests that were sent and arrived within one second.
std::size_t busiestSecond(const Review::Server& server, const std::map<Base::Ipv4Endpoint, double>& sendTimes)
{
    std::size_t most = 0;
    for (const auto& first : server.openings()) {
        const auto begin = sendTimes.at(first.caller);
        std::size_t count = 0;
        for (const auto& other : server.openings()) {
            const bool isInside = sendTimes.at(other.caller) >= begin && other.takenAt < begin + windowMs;
            count += isInside ? 1 : 0;
        }
        most = std::max(most, count);
    }
    return most;
}

void loseLeases(Platform& platform)
{
    platform.record().write("the store is down, silent");
    platform.store().setFault({ .isUnresponsive = true });
    platform.runFor(outage / 2);
    platform.record().write("the leases run out");
    platform.records().expireLeases(platform.loop().now() + std::chrono::hours(1));
    platform.runFor(outage - outage / 2);
    platform.store().setFault({});
    platform.record().write("the store is back");
}

void killAll(Platform& platform)
{
    platform.record().write("SIGKILL to all entry VMs");
    for (std::size_t index = 0; index < platform.entryVms().size(); ++index) {
        platform.expectExit(index);
        platform.entryVms()[index]->signal(SIGKILL);
    }
    platform.runFor(outage);
}

}

int main(int argc, char** argv)
{
    if (argc != 6) {
        std::cerr << "usage: ColdLimit PROGRAM FOLDER RECORD TROUBLE lapse|kill\n";
        return 2;
    }
    const bool isDisturbed = std::string(argv[4]) != "0";
    const std::vector<std::string> zones { "brum", "notts", "leic" };
    Platform platform({ .program = argv[1],
        .folder = argv[2],
        .record = argv[3],
        .zones = zones,
        .entryVmZones = { "brum", "brum", "notts", "leic" } });
    const Base::Ipv4Endpoint route { .address = { 0xC612'0001 }, .port = 443 };
    platform.writeConfiguration({ { .name = "rota",
        .route = route,
        .warmUpSeconds = Base::toSeconds(warmUpTime),
        .warmUpPerSecond = warmUpPerSecond } });
    for (std::size_t index = 0; index < zones.size(); ++index)
        platform.addServer({ .number = 0x7F3A'91C2 + index,
            .service = "rota",
            .zone = zones[index],
            .address = Review::loopback(30, index),
            .warmUpLeft = warmUpTime });
    for (auto& vm : platform.entryVms())
        vm->start();
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    while (!platform.areAllReady() && std::chrono::steady_clock::now() < deadline)
        platform.runFor(Base::milliseconds(50));
    if (!platform.areAllReady()) {
        std::cout << "the entry VMs are not ready\n";
        return 2;
    }
    for (const auto& zone : zones)
        platform.addCaller({ .zone = zone, .route = route, .requestsPerSecond = requestsPerSecondOfZone });
    // The servers start during traffic.
    platform.runFor(Base::milliseconds(500));
    for (auto& server : platform.servers())
        server->enroll();
    platform.runFor(timeBefore);
    if (isDisturbed && std::string(argv[5]) == "kill") {
        killAll(platform);
    } else if (isDisturbed) {
        loseLeases(platform);
    } else {
        platform.runFor(outage);
    }
    platform.runFor(timeAfter);
    for (auto& caller : platform.callers())
        caller->stopNewRequests();
    platform.runFor(Base::milliseconds(2000));

    std::map<Base::Ipv4Endpoint, double> sendTimes;
    unsigned served = 0;
    for (const auto& caller : platform.callers()) {
        sendTimes.insert(caller->sendTimes().begin(), caller->sendTimes().end());
        served += caller->served();
    }
    constexpr double limit = warmUpPerSecond * overshoot + slack;
    bool isBroken = false;
    for (const auto& server : platform.servers()) {
        const auto most = busiestSecond(*server, sendTimes);
        std::cout << server->id() << ": " << most << " requests in its busiest second, limit " << limit << "\n";
        isBroken |= static_cast<double>(most) > limit;
    }
    std::cout << served << " served, " << platform.unexpectedExits() << " unexpected exits\n";
    if (served == 0 || platform.unexpectedExits() > 0)
        return 2;
    return isBroken ? 1 : 0;
}
