#include <ControlFakes/FakeFleet.h>
#include <catch2/catch.hpp>

namespace {

constexpr std::size_t nodeCount = 4;
constexpr Base::seconds settleTime { 5 };

ControlFakes::FakeFleet makeStartedFleet(uint64_t seed)
{
    ControlFakes::FakeFleet fleet({ .nodes = nodeCount, .domains = 3, .seed = seed });
    fleet.acceptChange();
    fleet.startAll();
    fleet.run(settleTime);
    return fleet;
}

bool isReachableForAnyMember(ControlFakes::FakeFleet& fleet, std::size_t node)
{
    for (std::size_t observer = 0; observer < nodeCount; ++observer) {
        if (observer != node && fleet.isRunning(observer) && fleet.hasReachableMember(observer, node))
            return true;
    }
    return false;
}

}

TEST_CASE("The failure of a member of a small failure domain is detected by the other members", "[membership]")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        for (std::size_t victim = 0; victim < nodeCount; ++victim) {
            INFO("seed " << seed << ", victim " << victim);
            auto fleet = makeStartedFleet(seed);
            REQUIRE(isReachableForAnyMember(fleet, victim));
            fleet.kill(victim);
            CHECK(fleet.runUntil([&] { return !isReachableForAnyMember(fleet, victim); }, Base::seconds(3)));
        }
    }
}

TEST_CASE("A failure domain whose only member is paused is unreachable, not removed, and reachable again afterwards",
    "[membership]")
{
    auto fleet = makeStartedFleet(1);
    constexpr std::size_t pausedNode = 1;
    fleet.pause(pausedNode, Base::seconds(20));
    CHECK(fleet.runUntil([&] { return !isReachableForAnyMember(fleet, pausedNode); }, Base::seconds(3)));
    fleet.run(Base::seconds(15));
    CHECK(fleet.hasMember(0, pausedNode));
    fleet.run(Base::seconds(15));
    CHECK(fleet.hasReachableMember(0, pausedNode));
    CHECK(fleet.hasReachableMember(2, pausedNode));
    CHECK(fleet.hasReachableMember(pausedNode, 0));
}
