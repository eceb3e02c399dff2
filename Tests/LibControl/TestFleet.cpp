#include <ControlFakes/FakeFleet.h>
#include <LibControl/Events.h>
#include <catch2/catch.hpp>

using Base::milliseconds;
using Base::seconds;
using ControlFakes::FakeFleet;

TEST_CASE("A change comes into force on every node of a small fleet")
{
    FakeFleet fleet({ .nodes = 4, .domains = 3, .seed = 1 });
    fleet.startAll();
    fleet.acceptChange();
    REQUIRE(fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, seconds(9)));
    fleet.acceptChange();
    REQUIRE(fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, seconds(9)));
    fleet.run(seconds(20));
    CHECK(fleet.node(0).inForce().inForce == 4);
    CHECK(fleet.node(0).inForce().total == 4);
    CHECK(fleet.node(0).inForce().missing.empty());
    CHECK(fleet.reverts() == 0);
}

TEST_CASE("Nodes that know only a few seeds discover all members")
{
    FakeFleet fleet({ .nodes = 12, .domains = 3, .seed = 2, .startsJoined = false });
    fleet.startAll();
    const auto allJoined = [&] {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            if (fleet.node(node).members().size() != fleet.size())
                return false;
        }
        return true;
    };
    REQUIRE(fleet.runUntil(allJoined, seconds(20)));
    fleet.acceptChange();
    REQUIRE(fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, seconds(12)));
    CHECK(fleet.reverts() == 0);
}

TEST_CASE("A failure domain cut off from the store and its peers catches up from its peers after the partition")
{
    FakeFleet fleet({ .nodes = 9, .domains = 3, .seed = 3 });
    fleet.startAll();
    fleet.acceptChange();
    fleet.run(seconds(12));
    fleet.network.isCut = [&](std::size_t from, std::size_t to) {
        return fleet.domainOf(from) != fleet.domainOf(to) && (fleet.domainOf(from) == 2 || fleet.domainOf(to) == 2);
    };
    fleet.isCutFromStore = [&](std::size_t node) { return fleet.domainOf(node) == 2; };
    fleet.acceptChange();
    fleet.run(seconds(30));
    CHECK(fleet.laggingCount() == 3);
    CHECK(fleet.node(2).evidenceAge(fleet.now()) > seconds(20));
    CHECK_FALSE(fleet.hasReachableMember(2, 0));
    CHECK(fleet.hasMember(2, 0));
    fleet.network.isCut = {};
    CHECK(fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, seconds(9)));
    CHECK(fleet.reverts() == 0);
}

TEST_CASE("A store restored from an old backup is reported and ignored")
{
    FakeFleet fleet({ .nodes = 4, .domains = 3, .seed = 4 });
    fleet.startAll();
    fleet.acceptChange();
    fleet.run(seconds(5));
    fleet.store.saveBackup();
    fleet.acceptChange();
    fleet.acceptChange();
    REQUIRE(fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, seconds(9)));
    fleet.store.restoreBackup();
    fleet.run(seconds(60));
    CHECK(fleet.eventCount(static_cast<uint32_t>(Control::Event::StoreBehind)) > 0);
    CHECK(fleet.isInForceEverywhere());
    CHECK(fleet.reverts() == 0);
}

TEST_CASE("A node restarted without state during a store outage enforces the configuration of its peers")
{
    FakeFleet fleet({ .nodes = 4, .domains = 3, .seed = 5 });
    fleet.startAll();
    fleet.acceptChange();
    fleet.run(seconds(12));
    fleet.store.faults.isDown = true;
    fleet.run(seconds(60));
    fleet.kill(1);
    fleet.start(1);
    CHECK(fleet.node(1).evidence() == Control::Evidence::None);
    REQUIRE(fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, seconds(9)));
    CHECK(fleet.node(1).evidence() == Control::Evidence::Peers);
    CHECK(fleet.eventCount(static_cast<uint32_t>(Control::Event::StoreUnreachable)) > 0);
}

TEST_CASE("A node without store and peers has no configuration and reports no evidence")
{
    FakeFleet fleet({ .nodes = 4, .domains = 3, .seed = 6 });
    fleet.store.faults.isDown = true;
    fleet.network.isCut = [](std::size_t, std::size_t) { return true; };
    fleet.startAll();
    fleet.run(seconds(30));
    CHECK(fleet.node(0).configuration() == nullptr);
    CHECK(fleet.node(0).evidence() == Control::Evidence::None);
}

TEST_CASE("A paused node is kept, a dead node is removed and a leaving node is reported")
{
    FakeFleet fleet({ .nodes = 12, .domains = 3, .seed = 7 });
    fleet.startAll();
    fleet.acceptChange();
    fleet.run(seconds(6));
    fleet.pause(3, milliseconds(2500));
    fleet.run(seconds(15));
    CHECK(fleet.eventCount(static_cast<uint32_t>(Control::Event::MemberRemoved)) == 0);
    CHECK(fleet.hasReachableMember(0, 3));
    fleet.kill(4);
    fleet.leave(5);
    fleet.run(milliseconds(1500));
    CHECK(fleet.eventCount(static_cast<uint32_t>(Control::Event::MemberLeaving)) > 0);
    fleet.run(seconds(15));
    CHECK_FALSE(fleet.hasMember(1, 4));
    CHECK_FALSE(fleet.hasMember(0, 4));
    fleet.start(4);
    fleet.run(seconds(10));
    CHECK(fleet.hasReachableMember(0, 4));
}

TEST_CASE("One-way loss on a single path does not remove a member")
{
    FakeFleet fleet({ .nodes = 12, .domains = 2, .seed = 8 });
    fleet.startAll();
    fleet.acceptChange();
    fleet.run(seconds(6));
    fleet.network.isCut = [](std::size_t from, std::size_t to) { return from == 2 && to == 4; };
    fleet.run(seconds(60));
    CHECK(fleet.eventCount(static_cast<uint32_t>(Control::Event::MemberRemoved)) == 0);
}

TEST_CASE("A malformed message is rejected and leaves the state unchanged")
{
    FakeFleet fleet({ .nodes = 4, .domains = 3, .seed = 9 });
    fleet.startAll();
    fleet.acceptChange();
    fleet.run(seconds(6));
    const auto revision = fleet.node(0).configuration()->revision;
    Control::ControlActions actions;
    const std::vector<std::byte> malformedMessage(100, std::byte { 0x93 });
    const auto error = Base::captureError(
        [&] { return fleet.node(0).handleMessage(fleet.now(), fleet.id(1), malformedMessage, actions); });
    REQUIRE(error);
    CHECK(error->code == Base::ErrorCode::Malformed);
    CHECK(actions.empty());
    CHECK(fleet.node(0).configuration()->revision == revision);
    CHECK(fleet.node(0).statistics().malformedMessages == 1);
}

TEST_CASE("Creation without an id or a failure domain is rejected")
{
    CHECK_FALSE(Base::capture([] { return Control::ControlNode::create({ .failureDomain = "brum" }); }).isOk());
    CHECK_FALSE(Base::capture([] { return Control::ControlNode::create({ .self = { 1 } }); }).isOk());
}
