#include "Fixture.h"

#include <catch2/catch.hpp>

using Steering::Refusal;
using Steering::VerdictKind;

namespace {

constexpr uint16_t usualPort = 443;
constexpr uint16_t importantPort = 444;

/// One server with two slots, whose six places are all taken by open flows, so that its service's room is short.
class ShortageFixture : public SteeringFixture {
public:
    ShortageFixture()
    {
        auto configuration = std::make_shared<Steering::Configuration>();
        configuration->version = 10;
        configuration->position.revision = 10;
        for (const auto port : { usualPort, importantPort }) {
            configuration->routes.push_back({ .name = "route",
                .endpoint = service(port),
                .traffic = { .priority = port == importantPort ? 0U : 1U, .latencyObjective = milliseconds(400) },
                .shares = { { .service = "rota", .weight = 1 } } });
        }
        configuration->services.push_back({ .name = "rota" });
        configuration->idleTimeout = milliseconds(15'000);
        decider_.handle(now_, Steering::ConfigurationChanged { .configuration = configuration });
        listServer(1);
        for (uint16_t port = 1; port <= 6; ++port) {
            REQUIRE(openFlow(port).kind == VerdictKind::Forward);
            advance(milliseconds(20));
        }
    }

    /// The response of a flow of the fixture has arrived.
    void endFlow(uint16_t callerPort)
    {
        send(callerPort, token(1), 900, true);
        advance(milliseconds(0));
    }
};

}

TEST_CASE_METHOD(ShortageFixture, "a first packet without a place waits, and copies of it change nothing")
{
    CHECK(sendFirst(7).kind == VerdictKind::Wait);
    advance(milliseconds(50));
    CHECK(sendFirst(7).kind == VerdictKind::Wait);
    CHECK(decider_.statistics().waitedForRoom == 1);
    CHECK(hedgedAttempts_.empty());
    endFlow(1);
    REQUIRE(hedgedAttempts_.size() == 1);
    CHECK(hedgedAttempts_[0].verdict.number == number(1));
    CHECK(resets_.empty());
}

TEST_CASE_METHOD(ShortageFixture, "a first packet that waits for a quarter of its objective in vain is reset")
{
    CHECK(sendFirst(7).kind == VerdictKind::Wait);
    CHECK(decider_.nextTimer(now_) <= now_ + milliseconds(100));
    advance(milliseconds(99));
    CHECK(resets_.empty());
    advance(milliseconds(1));
    REQUIRE(resets_.size() == 1);
    CHECK(resets_[0].flow == flow(7));
    const auto& decision = decisions_.back();
    CHECK(decision.refusal == Refusal::NoRoom);
    CHECK(decision.priority == 1);
    CHECK(decision.room.places == 6);
    CHECK(decision.room.inFlight == 6);
    CHECK(decision.age == milliseconds(100));
    CHECK(decider_.statistics().noRoomByPriority[1] == 1);
    endFlow(1);
    CHECK(hedgedAttempts_.empty());
}

TEST_CASE_METHOD(ShortageFixture, "the more important first packet gets the next place, though it came later")
{
    CHECK(sendFirst(7, usualPort).kind == VerdictKind::Wait);
    CHECK(sendFirst(8, importantPort).kind == VerdictKind::Wait);
    endFlow(1);
    REQUIRE(hedgedAttempts_.size() == 1);
    CHECK(decisions_.back().flow == flow(8, importantPort));
    endFlow(2);
    REQUIRE(hedgedAttempts_.size() == 2);
    CHECK(decisions_.back().flow == flow(7, usualPort));
}

TEST_CASE_METHOD(ShortageFixture, "more first packets than can be served in time are rejected at once, class by class")
{
    for (uint16_t port = 100; port < 112; ++port)
        CHECK(sendFirst(port, usualPort).kind == VerdictKind::Wait);
    const auto rejected = sendFirst(112, usualPort);
    CHECK(rejected.kind == VerdictKind::Reset);
    CHECK(rejected.refusal == Refusal::NoRoom);
    CHECK(sendFirst(113, importantPort).kind == VerdictKind::Wait);
}

TEST_CASE_METHOD(ShortageFixture, "load reports carry the demand only while room is short")
{
    CHECK(sendFirst(7).kind == VerdictKind::Wait);
    REQUIRE(decider_.ownDemands().size() == 1);
    CHECK(decider_.ownDemands()[0].service == Steering::ServiceKey::of("rota"));
    CHECK(decider_.ownDemands()[0].requests >= 5);
    advance(milliseconds(100));
    REQUIRE(resets_.size() == 1);
    for (uint16_t port = 1; port <= 6; ++port)
        endFlow(port);
    for (int round = 0; round < 20; ++round)
        advance(milliseconds(250));
    CHECK(decider_.ownDemands().empty());
}

TEST_CASE_METHOD(
    SteeringFixture, "a silent server that responds to others costs a part of the budget of hedged attempts")
{
    configure();
    listServer(1);
    listServer(2);
    // Server 2 is used by a peer, so that all flows go to server 1, which loses one first packet in five.
    decider_.handle(now_, Steering::PeerListed { .peer = peer(2), .failureDomain = "brum", .reports = {} });
    std::size_t lost = 0;
    for (uint16_t port = 100; port < 110; ++port) {
        decider_.acceptReport(
            now_, { .sender = peer(2), .sequence = port, .loads = { { .number = number(2), .inFlight = 3 } } });
        lost += sendFirst(port).number == number(1) ? 1 : 0;
        advance(milliseconds(2));
        for (uint16_t other = 0; other < 4; ++other)
            CHECK(runFlow(static_cast<uint16_t>(1000 + port * 10 + other)) == number(1));
        advance(milliseconds(1600));
        advance(milliseconds(1600));
    }
    CHECK(lost == 10);
    // Fifty first packets earn five hedged attempts.
    CHECK(decider_.statistics().hedgedAttempts <= 5);
    CHECK(decider_.statistics().hedgesDenied >= 5);
}

TEST_CASE_METHOD(ShortageFixture, "no first packet waits for a place once most servers are known to be silent")
{
    for (uint64_t server = 2; server <= 5; ++server)
        listServer(server);
    // Server 1 has its places taken, and the others have just ended: it takes some attempts to see that.
    uint16_t port = 100;
    for (; port < 115; ++port) {
        sendFirst(port);
        advance(milliseconds(30));
    }
    for (; port < 140; ++port) {
        CHECK(sendFirst(port).kind == VerdictKind::Forward);
        advance(milliseconds(30));
    }
}
