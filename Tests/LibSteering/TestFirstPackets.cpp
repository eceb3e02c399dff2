#include "Fixture.h"

#include <catch2/catch.hpp>
#include <set>

using Steering::Refusal;
using Steering::VerdictKind;

TEST_CASE_METHOD(SteeringFixture, "nothing is forwarded or reset before a configuration is received")
{
    listServer(1);
    const auto verdict = sendFirst(1);
    CHECK(verdict.kind == VerdictKind::Drop);
    CHECK(verdict.refusal == Refusal::NotSynchronized);
}

TEST_CASE_METHOD(SteeringFixture,
    "a first packet is forwarded with its server's number and tentative token, the handshake with the confirmed one")
{
    configure();
    listServer(7);
    const auto verdict = sendFirst(1);
    REQUIRE(verdict.kind == VerdictKind::Forward);
    CHECK(verdict.number == number(7));
    CHECK(verdict.token == Steering::FlowToken::tentative(number(7), flow(1), 1000));
    CHECK(verdict.token.isTentative());
    CHECK(send(1, verdict.token).token == token(7));
    CHECK_FALSE(token(7).isTentative());
    CHECK(verdict.server.port == 80);
}

TEST_CASE_METHOD(SteeringFixture, "a first packet without a route or without a usable server is refused at once")
{
    configure();
    CHECK(sendFirst(1, 444).kind == VerdictKind::Reset);
    CHECK(sendFirst(1, 444).refusal == Refusal::NoRoute);
    CHECK(sendFirst(2).refusal == Refusal::NoServer);
    listServer(1, "brum", Steering::ServerState::Draining);
    CHECK(sendFirst(3).kind == VerdictKind::Reset);
}

TEST_CASE_METHOD(
    SteeringFixture, "new flows go to the server with the fewest requests in flight, own failure domain first")
{
    configure();
    listServer(1);
    listServer(2);
    listServer(3, "notts");
    std::multiset<uint64_t> chosen;
    for (uint16_t port = 1; port <= 3; ++port)
        chosen.insert(sendFirst(port).number.value);
    // One each in the own domain, and the third to the other domain, since its server is still idle.
    CHECK(chosen == std::multiset<uint64_t> { 1, 2, 3 });
}

TEST_CASE_METHOD(SteeringFixture, "requests in flight from peers count until their reports are too old")
{
    configure();
    listServer(1);
    listServer(2);
    decider_.handle(now_, Steering::PeerListed { .peer = peer(2), .failureDomain = "brum", .reports = {} });
    REQUIRE(decider_.acceptReport(
        now_, { .sender = peer(2), .sequence = 5, .loads = { { .number = number(1), .inFlight = 3 } } }));
    CHECK(sendFirst(1).number == number(2));
    CHECK(sendFirst(2).number == number(2));
    CHECK_FALSE(decider_.acceptReport(now_, { .sender = peer(2), .sequence = 5 }));
    advance(milliseconds(1500));
    CHECK(sendFirst(3).number == number(1));
}

TEST_CASE_METHOD(SteeringFixture, "each retransmission of a first packet goes to another server")
{
    configure();
    listServer(1);
    listServer(2);
    listServer(3);
    const auto first = sendFirst(1);
    const auto copy = sendFirst(1);
    CHECK(copy.number != first.number);
    const auto third = sendFirst(1);
    CHECK(third.number != first.number);
    CHECK(third.number != copy.number);
}

TEST_CASE_METHOD(SteeringFixture, "a first packet without a response is hedged before the caller retransmits it")
{
    configure();
    listServer(1);
    listServer(2);
    const auto first = sendFirst(1);
    advance(milliseconds(20));
    CHECK(hedgedAttempts_.empty());
    advance(milliseconds(60));
    REQUIRE(hedgedAttempts_.size() == 1);
    CHECK(hedgedAttempts_[0].verdict.number != first.number);
    advance(milliseconds(300));
    CHECK(hedgedAttempts_.size() == 1);
}

TEST_CASE_METHOD(SteeringFixture, "a flow stays with the server its caller accepted, whatever later tokens it sends")
{
    configure();
    listServer(1);
    listServer(2);
    const auto first = sendFirst(1);
    advance(milliseconds(80));
    REQUIRE(hedgedAttempts_.size() == 1);
    const auto second = hedgedAttempts_[0].verdict;
    // The first server responded late; then the second server's response reached the caller, too.
    CHECK(send(1, first.token).number == first.number);
    CHECK(send(1, second.token).number == first.number);
    CHECK(send(1, second.token, 900, true).number == first.number);
    CHECK(send(1, second.token, 901).number == first.number);
}

TEST_CASE_METHOD(SteeringFixture, "a reused caller port opens a new flow")
{
    configure();
    listServer(1);
    const auto first = sendFirst(1, 443, 1000);
    send(1, first.token);
    const auto attempt = sendFirst(1, 443, 77'000);
    CHECK(attempt.kind == VerdictKind::Forward);
    CHECK(decider_.ownLoads().size() == 1);
    CHECK(decider_.ownLoads()[0].inFlight == 1);
}

TEST_CASE_METHOD(SteeringFixture,
    "a request is in flight until its response is acknowledged, or until the flow has been idle for 2 s")
{
    configure();
    listServer(1);
    const auto first = sendFirst(1);
    send(1, first.token, 501);
    CHECK(decider_.ownLoads().size() == 1);
    send(1, first.token, 1701);
    CHECK(decider_.ownLoads().empty());
    const auto second = sendFirst(2);
    send(2, second.token, 501);
    advance(milliseconds(2000));
    advance(milliseconds(2000));
    CHECK(decider_.ownLoads().empty());
}

TEST_CASE_METHOD(SteeringFixture, "a cold server gets no flows while a warm one is usable, and few otherwise")
{
    configure();
    listServer(1);
    listServer(2, "brum", Steering::ServerState::Ready, milliseconds(2000));
    for (uint16_t port = 1; port <= 20; ++port)
        CHECK(sendFirst(port).number == number(1));
    decider_.handle(now_, Steering::ServerUnlisted { .number = number(1) });
    int toCold = 0;
    for (uint16_t port = 21; port <= 60; ++port)
        toCold += sendFirst(port).kind == VerdictKind::Forward ? 1 : 0;
    // All entry VMs together may send five in a second (slack), and another one may not be on the list yet.
    CHECK(toCold == 2);
    advance(milliseconds(2100));
    CHECK(sendFirst(61).kind == VerdictKind::Forward);
}

TEST_CASE_METHOD(SteeringFixture, "a server restarted under the same number is cold for the service's warm-up")
{
    configure();
    listServer(1);
    listServer(2);
    listServer(1, "brum", Steering::ServerState::Ready, milliseconds(0), milliseconds(900));
    for (uint16_t port = 1; port <= 10; ++port)
        CHECK(sendFirst(port).number == number(2));
    advance(milliseconds(2100));
    CHECK(sendFirst(11).number == number(1));
}

TEST_CASE_METHOD(SteeringFixture, "an evacuated failure domain gets no first packet until the evacuation ends")
{
    configure();
    listServer(1);
    listServer(2, "notts");
    decider_.handle(now_, Steering::DomainEvacuation { .failureDomain = "brum", .isEvacuated = true });
    for (uint16_t port = 1; port <= 10; ++port)
        CHECK(sendFirst(port).number == number(2));
    decider_.handle(now_, Steering::DomainEvacuation { .failureDomain = "brum", .isEvacuated = false });
    CHECK(sendFirst(11).number == number(1));
}

TEST_CASE_METHOD(SteeringFixture, "a flow that is refused after an attempt no longer counts as in flight")
{
    configure();
    listServer(1);
    REQUIRE(sendFirst(1).kind == VerdictKind::Forward);
    REQUIRE(decider_.ownLoads().size() == 1);
    decider_.handle(now_, Steering::DomainEvacuation { .failureDomain = "brum", .isEvacuated = true });
    advance(milliseconds(200));
    CHECK(sendFirst(1, 443, 1000, 1).refusal == Refusal::NoServer);
    CHECK(decider_.ownLoads().empty());
}

TEST_CASE_METHOD(SteeringFixture, "a route with allowed regions uses only servers in them")
{
    regions_ = { "midlands" };
    configure();
    listServer(1, "abroad");
    CHECK(sendFirst(1).refusal == Refusal::NoServer);
    listServer(2, "notts");
    CHECK(sendFirst(2).number == number(2));
}

TEST_CASE_METHOD(SteeringFixture, "an older configuration never replaces a newer one")
{
    listServer(1);
    configure(20, { 443 });
    configure(15, { 444 });
    CHECK(sendFirst(1, 443).kind == VerdictKind::Forward);
    CHECK(sendFirst(2, 444).kind == VerdictKind::Reset);
    CHECK(decider_.configurationVersion() == 20);
}
