// Shortages that begin, end, or coincide with a failure.

#include "OverloadCluster.h"

#include <catch2/catch.hpp>

namespace {

using Base::milliseconds;

constexpr std::size_t serverCount = 4;
constexpr double roomPerSecond = serverCount * OverloadCluster::slots / OverloadCluster::meanHandlingSeconds;

/// Four servers, and a quarter of the requests important.
OverloadCluster::Options options(double load, bool hasObjectives = true)
{
    return { .servers = serverCount,
        .hasObjectives = hasObjectives,
        .classes = { { .priority = 0, .requestsPerSecond = load * roomPerSecond * 0.25 },
            { .priority = 1, .requestsPerSecond = load * roomPerSecond * 0.75 } },
        .seed = 5 };
}

double importantShare(const OverloadCluster& cluster)
{
    return static_cast<double>(cluster.traffic(0).inTime) / static_cast<double>(cluster.traffic(0).offered);
}

double roomShare(const OverloadCluster& cluster, milliseconds time)
{
    return static_cast<double>(cluster.answeredInTime()) / (roomPerSecond * Base::toSeconds(time));
}

}

TEST_CASE("with ample room, decisions are the same as without latency objectives")
{
    OverloadCluster with(options(0.4));
    OverloadCluster without(options(0.4, false));
    with.run(milliseconds(4000));
    without.run(milliseconds(4000));
    CHECK(with.trace() == without.trace());
    CHECK(with.rejections() == 0);
    CHECK(with.shortEntryVms() == 0);
    CHECK(with.decider(0).statistics().waitedForRoom == 0);
}

TEST_CASE("a burst of two seconds is served as far as there is room, and leaves nothing behind")
{
    OverloadCluster cluster(options(0.25));
    cluster.run(milliseconds(2000));
    cluster.resetCounts();
    cluster.setRate(6);
    cluster.run(milliseconds(2000));
    // Requests that arrived at the end are still in progress.
    cluster.setRate(0);
    cluster.run(milliseconds(400));
    INFO("in time " << cluster.answeredInTime() << " of " << cluster.offered() << ", important "
                    << cluster.traffic(0).inTime << " of " << cluster.traffic(0).offered);
    CHECK(roomShare(cluster, milliseconds(2000)) >= 0.85);
    CHECK(importantShare(cluster) >= 0.9);
    cluster.setRate(1);
    cluster.run(milliseconds(2500));
    CHECK(cluster.shortEntryVms() == 0);
    cluster.resetCounts();
    cluster.run(milliseconds(2000));
    CHECK(cluster.rejections() == 0);
    CHECK(cluster.tries() == cluster.offered());
}

TEST_CASE("an entry VM that dies in a shortage leaves its places to the others")
{
    OverloadCluster cluster(options(1.5));
    cluster.run(milliseconds(2000));
    cluster.killEntryVm(3);
    cluster.run(milliseconds(2000));
    for (const std::size_t survivor : { 0U, 1U, 2U, 4U, 5U, 6U, 7U })
        cluster.unlistPeer(survivor, 3);
    cluster.run(milliseconds(500));
    cluster.resetCounts();
    cluster.run(milliseconds(3000));
    CHECK(roomShare(cluster, milliseconds(3000)) >= 0.9);
    CHECK(importantShare(cluster) >= 0.97);
}

TEST_CASE("while reports are lost for a second, servers are not overfilled")
{
    OverloadCluster cluster(options(1.5));
    cluster.run(milliseconds(2000));
    cluster.resetCounts();
    cluster.setReportsLost(true);
    cluster.run(milliseconds(1000));
    cluster.setReportsLost(false);
    cluster.run(milliseconds(2000));
    CHECK(roomShare(cluster, milliseconds(3000)) >= 0.9);
    CHECK(importantShare(cluster) >= 0.97);
    CHECK(cluster.rejectedByServers() == 0);
}

TEST_CASE("entry VMs whose lists differ by one do not overfill servers")
{
    OverloadCluster cluster(options(1.5));
    cluster.run(milliseconds(1000));
    for (const std::size_t half : { 0U, 2U, 4U, 6U })
        cluster.unlistPeer(half, 7);
    cluster.run(milliseconds(1000));
    cluster.resetCounts();
    cluster.run(milliseconds(3000));
    CHECK(roomShare(cluster, milliseconds(3000)) >= 0.9);
    CHECK(importantShare(cluster) >= 0.97);
    CHECK(cluster.rejectedByServers() == 0);
}

TEST_CASE("when the load falls, room is ample again and nothing is rejected any more")
{
    OverloadCluster cluster(options(1.5));
    cluster.run(milliseconds(2000));
    CHECK(cluster.shortEntryVms() > 0);
    cluster.setRate(0.15);
    cluster.run(milliseconds(3000));
    CHECK(cluster.shortEntryVms() == 0);
    cluster.resetCounts();
    cluster.run(milliseconds(2000));
    CHECK(cluster.rejections() == 0);
    CHECK(cluster.answeredInTime() + 20 >= cluster.offered());
}
