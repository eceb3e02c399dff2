// Entry VMs are stopped and started in turn while callers compete for the room of a service. Checks that no caller gets
// a reset of the system's own on a flow that a live server holds open.

#include "Platform.h"

#include <csignal>
#include <iostream>

namespace {

using Review::Platform;

constexpr Base::milliseconds startTimeout { 10'000 };
constexpr Base::milliseconds warmUpTime { 3000 };
constexpr Base::milliseconds gapBetweenStops { 1300 };
constexpr Base::milliseconds longestStop { 8000 };
constexpr int rounds = 4;
constexpr std::size_t serverCount = 3;
constexpr Base::milliseconds workTime { 20 };
/// Three servers with two slots can serve 300 requests a second.
constexpr double requestsPerSecondOfZone = 105;
/// The entry VMs of the first zone are stopped and started in turn.
constexpr std::size_t stoppedCount = 2;

void waitUntilReady(Platform& platform, Base::milliseconds atMost)
{
    const auto deadline = std::chrono::steady_clock::now() + atMost;
    while (!platform.areAllReady() && std::chrono::steady_clock::now() < deadline)
        platform.runFor(Base::milliseconds(50));
}

/// Stops one entry VM and waits until it is back in rotation.
void restart(Platform& platform, std::size_t index)
{
    auto& vm = *platform.entryVms()[index];
    platform.record().write("SIGTERM to " + vm.options().name);
    platform.expectExit(index);
    vm.signal(SIGTERM);
    const auto deadline = std::chrono::steady_clock::now() + longestStop;
    while (vm.isInRotation() && std::chrono::steady_clock::now() < deadline)
        platform.runFor(Base::milliseconds(20));
    waitUntilReady(platform, longestStop);
    platform.record().write(vm.options().name + " is back in rotation");
    platform.runFor(gapBetweenStops);
}

}

int main(int argc, char** argv)
{
    if (argc != 5) {
        std::cerr << "usage: PlannedStop PROGRAM FOLDER RECORD TROUBLE\n";
        return 2;
    }
    const bool isDisturbed = std::string(argv[4]) != "0";
    Platform platform({ .program = argv[1],
        .folder = argv[2],
        .record = argv[3],
        .zones = { "brum", "notts", "leic" },
        .entryVmZones = { "brum", "brum", "notts", "leic" } });
    const std::vector<std::string> zones { "brum", "notts", "leic" };
    const Base::Ipv4Endpoint route { .address = { 0xC612'0001 }, .port = 443 };
    platform.writeConfiguration({ { .name = "rota", .route = route, .latencyObjectiveMs = 1200 } });
    for (std::size_t index = 0; index < serverCount; ++index) {
        platform.addServer({ .number = 0x7F3A'91C2 + index,
            .service = "rota",
            .zone = zones[index % zones.size()],
            .address = Review::loopback(30, index),
            .workTime = workTime });
        platform.servers().back()->enroll();
    }
    for (auto& vm : platform.entryVms())
        vm->start();
    waitUntilReady(platform, startTimeout);
    if (!platform.areAllReady()) {
        std::cout << "the entry VMs are not ready\n";
        return 2;
    }
    for (const auto& zone : zones)
        platform.addCaller({ .zone = zone, .route = route, .requestsPerSecond = requestsPerSecondOfZone });
    platform.runFor(warmUpTime);
    for (int round = 0; round < rounds; ++round) {
        if (isDisturbed)
            restart(platform, static_cast<std::size_t>(round) % stoppedCount);
        else
            platform.runFor(Base::milliseconds(5000));
    }
    for (auto& caller : platform.callers())
        caller->stopNewRequests();
    platform.runFor(Base::milliseconds(3000));

    std::size_t resets = 0;
    unsigned served = 0;
    unsigned failed = 0;
    for (const auto& caller : platform.callers()) {
        resets += caller->foreignResets().size();
        served += caller->served();
        failed += caller->failed();
        for (const auto& reset : caller->foreignResets())
            std::cout << "FLOW: " << reset.caller.toString() << " got a reset while " << reset.server
                      << " held its flow open (request " << reset.request << ")\n";
    }
    std::cout << served << " served, " << failed << " failed, " << resets << " resets on open flows, "
              << platform.repeatedRuns() << " requests ran twice, " << platform.unexpectedExits()
              << " unexpected exits\n";
    if (served == 0 || platform.unexpectedExits() > 0)
        return 2;
    return resets > 0 || platform.repeatedRuns() > 0 ? 1 : 0;
}
