// Callers keep flows open for two requests, and close them with the packet of the second one. All processes of the
// system are killed at the same moment. Checks that a quarter of the requests or more is served again after the
// recovery time. TROUBLE=kill: callers close flows after the last answer. TROUBLE=0: also without the kill.

#include "Platform.h"

#include <csignal>
#include <iostream>

namespace {

using Review::Platform;

constexpr Base::milliseconds startTimeout { 10'000 };
constexpr Base::milliseconds timeBeforeFault { 2500 };
constexpr Base::milliseconds recoveryTime { 15'000 };
constexpr Base::milliseconds timeAfter { 8000 };
constexpr std::size_t serverCount = 6;
constexpr double flowsPerSecondOfZone = 5;
constexpr double leastShare = 0.25;

struct Count {
    unsigned sent { 0 };
    unsigned served { 0 };

    double share() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
};

Count countRequests(const Platform& platform, double from, double to)
{
    Count count;
    for (const auto& caller : platform.callers()) {
        for (const auto& [request, outcome] : caller->outcomes()) {
            if (outcome.sentAt < from || outcome.sentAt >= to)
                continue;
            ++count.sent;
            count.served += outcome.isServed ? 1 : 0;
        }
    }
    return count;
}

void waitUntilReady(Platform& platform)
{
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    while (!platform.areAllReady() && std::chrono::steady_clock::now() < deadline)
        platform.runFor(Base::milliseconds(50));
}

}

int main(int argc, char** argv)
{
    if (argc != 5) {
        std::cerr << "usage: Recovery PROGRAM FOLDER RECORD TROUBLE\n";
        return 2;
    }
    const std::string trouble = argv[4];
    const bool isKilled = trouble != "0";
    const bool isHalfClosing = trouble != "0" && trouble != "kill";
    const std::vector<std::string> zones { "brum", "notts", "leic" };
    Platform platform({ .program = argv[1],
        .folder = argv[2],
        .record = argv[3],
        .zones = zones,
        .entryVmZones = { "brum", "brum", "notts", "leic" } });
    const Base::Ipv4Endpoint route { .address = { 0xC612'0001 }, .port = 443 };
    platform.writeConfiguration({ { .name = "rota", .route = route } });
    for (std::size_t index = 0; index < serverCount; ++index) {
        platform.addServer({ .number = 0x7F3A'91C2 + index,
            .service = "rota",
            .zone = zones[index % zones.size()],
            .address = Review::loopback(30, index) });
        platform.servers().back()->enroll();
    }
    for (auto& vm : platform.entryVms())
        vm->start();
    waitUntilReady(platform);
    if (!platform.areAllReady()) {
        std::cout << "the entry VMs are not ready\n";
        return 2;
    }
    for (const auto& zone : zones)
        platform.addCaller({ .zone = zone,
            .route = route,
            .requestsPerSecond = flowsPerSecondOfZone,
            .requestsPerFlow = 2,
            .isHalfClosing = isHalfClosing });
    platform.runFor(timeBeforeFault);
    const auto faultAt = platform.record().milliseconds();
    for (std::size_t index = 0; isKilled && index < platform.entryVms().size(); ++index) {
        platform.record().write("SIGKILL to " + platform.entryVms()[index]->options().name);
        platform.expectExit(index);
        platform.entryVms()[index]->signal(SIGKILL);
    }
    platform.runFor(Base::milliseconds(1500));
    waitUntilReady(platform);
    const auto backAt = platform.record().milliseconds();
    platform.record().write("the machines are back");
    platform.runFor(recoveryTime + timeAfter);
    const auto endAt = platform.record().milliseconds();
    for (auto& caller : platform.callers())
        caller->stopNewRequests();
    platform.runFor(Base::milliseconds(5000));

    const auto before = countRequests(platform, 0, faultAt);
    const auto after = countRequests(platform, backAt + static_cast<double>(recoveryTime.count()), endAt);
    std::cout << "before the final fault " << before.served << " of " << before.sent << " served, after the recovery "
              << after.served << " of " << after.sent << "; " << platform.unexpectedExits() << " unexpected exits\n";
    if (before.share() < leastShare || after.sent == 0 || platform.unexpectedExits() > 0)
        return 2;
    return after.share() < leastShare ? 1 : 0;
}
