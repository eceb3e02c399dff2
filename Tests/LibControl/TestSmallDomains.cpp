#include <ControlFakes/FakeFleet.h>
#include <catch2/catch.hpp>

namespace {

constexpr std::size_t nodeCount = 4;
constexpr Base::seconds settleTime { 5 };

ControlFakes::FakeFleet startedFleet(uint64_t seed)
{
    ControlFakes::FakeFleet fleet({ .nodes = nodeCount, .domains = 3, .seed = seed });
    fleet.acceptChange();
    fleet.startAll();
    fleet.run(settleTime);
    return fleet;
}

bool isSeenReachableByAny(ControlFakes::FakeFleet& fleet, std::size_t node)
{
    for (std::size_t observer = 0; observer < nodeCount; ++observer) {
        if (observer != node && fleet.isRunning(observer) && fleet.hasReachableMember(observer, node))
            return true;
    }
    return false;
}

}

TEST_CASE("A lost member of a failure domain of one is noticed by the other domains", "[membership]")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        for (std::size_t victim = 0; victim < nodeCount; ++victim) {
            INFO("seed " << seed << ", victim " << victim);
            auto fleet = startedFleet(seed);
            REQUIRE(isSeenReachableByAny(fleet, victim));
            fleet.kill(victim);
            CHECK(fleet.runUntil([&] { return !isSeenReachableByAny(fleet, victim); }, Base::seconds(3)));
        }
    }
}

TEST_CASE("A cut-off failure domain of one is unreachable, not removed, and is back after the cut", "[membership]")
{
    auto fleet = startedFleet(1);
    constexpr std::size_t cutOff = 1;
    fleet.pause(cutOff, Base::seconds(20));
    CHECK(fleet.runUntil([&] { return !isSeenReachableByAny(fleet, cutOff); }, Base::seconds(3)));
    fleet.run(Base::seconds(15));
    CHECK(fleet.hasMember(0, cutOff));
    fleet.run(Base::seconds(15));
    CHECK(fleet.hasReachableMember(0, cutOff));
    CHECK(fleet.hasReachableMember(2, cutOff));
    CHECK(fleet.hasReachableMember(cutOff, 0));
}
