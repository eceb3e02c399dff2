#include "Fixture.h"

#include <catch2/catch.hpp>
#include <set>

using Steering::Refusal;
using Steering::VerdictKind;

TEST_CASE_METHOD(SteeringFixture, "nothing is forwarded or reset before a configuration is known")
{
    list(1);
    const auto verdict = sendFirst(1);
    CHECK(verdict.kind == VerdictKind::Drop);
    CHECK(verdict.refusal == Refusal::NotSynchronized);
}

TEST_CASE_METHOD(SteeringFixture, "a first packet goes to a server with its number and token")
{
    configure();
    list(7);
    const auto verdict = sendFirst(1);
    REQUIRE(verdict.kind == VerdictKind::Forward);
    CHECK(verdict.number == number(7));
    CHECK(verdict.token == token(7));
    CHECK(verdict.server.port == 80);
}

TEST_CASE_METHOD(SteeringFixture, "a first packet without a route or without a usable server is refused at once")
{
    configure();
    CHECK(sendFirst(1, 444).kind == VerdictKind::Reset);
    CHECK(sendFirst(1, 444).refusal == Refusal::NoRoute);
    CHECK(sendFirst(2).refusal == Refusal::NoServer);
    list(1, "brum", Steering::ServerState::Draining);
    CHECK(sendFirst(3).kind == VerdictKind::Reset);
}

TEST_CASE_METHOD(SteeringFixture, "new flows go where the least work is in progress, own failure domain first")
{
    configure();
    list(1);
    list(2);
    list(3, "notts");
    std::multiset<uint64_t> chosen;
    for (uint16_t port = 1; port <= 3; ++port)
        chosen.insert(sendFirst(port).number.value);
    // One each in the own domain, and the third to the other domain, since its server is still idle.
    CHECK(chosen == std::multiset<uint64_t> { 1, 2, 3 });
}

TEST_CASE_METHOD(SteeringFixture, "work of peers counts until their reports are too old")
{
    configure();
    list(1);
    list(2);
    decider_.handle(now_, Steering::PeerListed { .peer = peer(2), .failureDomain = "brum", .reports = {} });
    REQUIRE(decider_.takeReport(
        now_, { .sender = peer(2), .sequence = 5, .loads = { { .number = number(1), .inProgress = 3 } } }));
    CHECK(sendFirst(1).number == number(2));
    CHECK(sendFirst(2).number == number(2));
    CHECK_FALSE(decider_.takeReport(now_, { .sender = peer(2), .sequence = 5 }));
    advance(milliseconds(1500));
    CHECK(sendFirst(3).number == number(1));
}

TEST_CASE_METHOD(SteeringFixture, "a second copy of a first packet goes to another server")
{
    configure();
    list(1);
    list(2);
    list(3);
    const auto first = sendFirst(1);
    const auto copy = sendFirst(1);
    CHECK(copy.number != first.number);
    const auto third = sendFirst(1);
    CHECK(third.number != first.number);
    CHECK(third.number != copy.number);
}

TEST_CASE_METHOD(SteeringFixture, "a first packet without a sign of life is offered again before the caller repeats it")
{
    configure();
    list(1);
    list(2);
    const auto first = sendFirst(1);
    advance(milliseconds(20));
    CHECK(reoffers_.empty());
    advance(milliseconds(60));
    REQUIRE(reoffers_.size() == 1);
    CHECK(reoffers_[0].verdict.number != first.number);
    advance(milliseconds(300));
    CHECK(reoffers_.size() == 1);
}

TEST_CASE_METHOD(SteeringFixture, "a flow stays with the server its caller chose, whatever later tokens say")
{
    configure();
    list(1);
    list(2);
    const auto first = sendFirst(1);
    advance(milliseconds(80));
    REQUIRE(reoffers_.size() == 1);
    const auto second = reoffers_[0].verdict;
    // The first server answered after all; then the second's answer reached the caller, too.
    CHECK(send(1, first.token).number == first.number);
    CHECK(send(1, second.token).number == first.number);
    CHECK(send(1, second.token, 900, true).number == first.number);
    CHECK(send(1, second.token, 901).number == first.number);
}

TEST_CASE_METHOD(SteeringFixture, "a caller's port used again opens a flow of its own")
{
    configure();
    list(1);
    const auto first = sendFirst(1, 443, 1000);
    send(1, first.token);
    const auto again = sendFirst(1, 443, 77'000);
    CHECK(again.kind == VerdictKind::Forward);
    CHECK(decider_.ownLoads().size() == 1);
    CHECK(decider_.ownLoads()[0].inProgress == 1);
}

TEST_CASE_METHOD(SteeringFixture, "work in progress ends with the answer's first acknowledgement, or with silence")
{
    configure();
    list(1);
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

TEST_CASE_METHOD(SteeringFixture, "a cold server gets nothing while a warm one is there, and little otherwise")
{
    configure();
    list(1);
    list(2, "brum", Steering::ServerState::Ready, milliseconds(2000));
    for (uint16_t port = 1; port <= 20; ++port)
        CHECK(sendFirst(port).number == number(1));
    decider_.handle(now_, Steering::ServerUnlisted { .number = number(1) });
    int toCold = 0;
    for (uint16_t port = 21; port <= 60; ++port)
        toCold += sendFirst(port).kind == VerdictKind::Forward ? 1 : 0;
    // The whole fleet may send five in a second (slack), and another entry VM may not be on the list yet.
    CHECK(toCold == 2);
    advance(milliseconds(2100));
    CHECK(sendFirst(61).kind == VerdictKind::Forward);
}

TEST_CASE_METHOD(SteeringFixture, "a restart under the same number is cold for the service's warm-up")
{
    configure();
    list(1);
    list(2);
    list(1, "brum", Steering::ServerState::Ready, milliseconds(0), milliseconds(900));
    for (uint16_t port = 1; port <= 10; ++port)
        CHECK(sendFirst(port).number == number(2));
    advance(milliseconds(2100));
    CHECK(sendFirst(11).number == number(1));
}

TEST_CASE_METHOD(SteeringFixture, "an evacuated failure domain gets no first packet until it is taken back")
{
    configure();
    list(1);
    list(2, "notts");
    decider_.handle(now_, Steering::DomainEvacuation { .failureDomain = "brum", .isEvacuated = true });
    for (uint16_t port = 1; port <= 10; ++port)
        CHECK(sendFirst(port).number == number(2));
    decider_.handle(now_, Steering::DomainEvacuation { .failureDomain = "brum", .isEvacuated = false });
    CHECK(sendFirst(11).number == number(1));
}

TEST_CASE_METHOD(SteeringFixture, "a route with regions uses only their servers")
{
    regions_ = { "midlands" };
    configure();
    list(1, "abroad");
    CHECK(sendFirst(1).refusal == Refusal::NoServer);
    list(2, "notts");
    CHECK(sendFirst(2).number == number(2));
}

TEST_CASE_METHOD(SteeringFixture, "an older configuration never replaces a newer one")
{
    list(1);
    configure(20, { 443 });
    configure(15, { 444 });
    CHECK(sendFirst(1, 443).kind == VerdictKind::Forward);
    CHECK(sendFirst(2, 444).kind == VerdictKind::Reset);
    CHECK(decider_.configurationVersion() == 20);
}
