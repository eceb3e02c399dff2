#include "OverloadCluster.h"

#include <catch2/catch.hpp>

namespace {

using Base::milliseconds;

/// What four of 24 servers can answer in a second.
constexpr std::size_t serversLeft = 4;
constexpr double roomPerSecond = serversLeft * OverloadCluster::slots / OverloadCluster::meanHandlingSeconds;

/// A quarter of the requests is important; all together are 1.5 times the room of the servers left.
OverloadCluster::Options shortageOptions(uint64_t seed)
{
    return { .classes = { { .priority = 0, .requestsPerSecond = roomPerSecond * 0.375 },
                 { .priority = 1, .requestsPerSecond = roomPerSecond * 1.125 } },
        .seed = seed };
}

double share(uint64_t part, double whole) { return static_cast<double>(part) / whole; }

std::string summary(const OverloadCluster& cluster)
{
    return "offered " + std::to_string(cluster.offered()) + ", in time " + std::to_string(cluster.answeredInTime())
        + ", tries " + std::to_string(cluster.tries()) + ", rejected " + std::to_string(cluster.rejections())
        + ", beside a free slot " + std::to_string(cluster.rejectionsBesideFreeSlot()) + ", by servers "
        + std::to_string(cluster.rejectedByServers()) + ", important " + std::to_string(cluster.traffic(0).inTime)
        + " of " + std::to_string(cluster.traffic(0).offered) + ", others " + std::to_string(cluster.traffic(1).inTime)
        + " of " + std::to_string(cluster.traffic(1).offered);
}

constexpr milliseconds settlingTime { 2000 };
constexpr milliseconds measuredTime { 5000 };
const double measuredRoom = roomPerSecond * Base::toSeconds(measuredTime);

/// Loses five of six servers, and counts once the loss is known.
void runShortage(OverloadCluster& cluster)
{
    cluster.run(milliseconds(1000));
    cluster.setWorkingServers(serversLeft);
    cluster.run(settlingTime);
    cluster.resetCounts();
    cluster.run(measuredTime);
    // Requests that arrived at the end are still in progress.
    cluster.setRate(0);
    cluster.run(milliseconds(400));
}

}

TEST_CASE("with a sixth of the servers left and 1.5 times their room, the room is used and important requests go first")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    OverloadCluster cluster(shortageOptions(seed));
    runShortage(cluster);
    INFO(summary(cluster));
    CHECK(share(cluster.answeredInTime(), measuredRoom) >= 0.9);
    CHECK(share(cluster.traffic(0).inTime, static_cast<double>(cluster.traffic(0).offered)) >= 0.97);
    CHECK(cluster.rejectionsBesideFreeSlot() == 0);
    // Callers try a rejected request twice more at once: with a third of the requests unserved, even a perfect
    // selection takes 1.67 tries for each.
    CHECK(share(cluster.tries(), static_cast<double>(cluster.offered())) <= 2.2);
    // Less important requests are not starved.
    CHECK(cluster.traffic(1).inTime > cluster.traffic(1).offered / 10);
}

TEST_CASE("on routes without a latency objective, nothing waits or is rejected for want of room")
{
    auto options = shortageOptions(1);
    options.hasObjectives = false;
    OverloadCluster cluster(options);
    runShortage(cluster);
    INFO(summary(cluster));
    for (std::size_t index = 0; index < 8; ++index) {
        const auto& statistics = cluster.decider(index).statistics();
        CHECK(statistics.refused[static_cast<std::size_t>(Steering::Refusal::NoRoom)] == 0);
        CHECK(statistics.waitedForRoom == 0);
    }
}

TEST_CASE("when important requests alone exceed the room, the others keep a small part of it")
{
    auto options = shortageOptions(4);
    options.classes[0].requestsPerSecond = roomPerSecond * 1.3;
    options.classes[1].requestsPerSecond = roomPerSecond * 0.5;
    OverloadCluster cluster(options);
    runShortage(cluster);
    INFO(summary(cluster));
    CHECK(share(cluster.answeredInTime(), measuredRoom) >= 0.9);
    CHECK(share(cluster.traffic(0).inTime, measuredRoom) >= 0.8);
    // One admission in eleven.
    CHECK(share(cluster.traffic(1).inTime, measuredRoom) >= 0.06);
}
