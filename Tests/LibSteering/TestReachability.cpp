#include "Fixture.h"

#include <catch2/catch.hpp>

TEST_CASE_METHOD(SteeringFixture, "readiness requires a configuration and all records of the store")
{
    CHECK_FALSE(decider_.isReady(now_));
    synchronize();
    CHECK_FALSE(decider_.isReady(now_));
    configure();
    CHECK(decider_.isReady(now_));
    decider_.stop();
    CHECK_FALSE(decider_.isReady(now_));
}

TEST_CASE_METHOD(SteeringFixture, "an unresponsive server gets no new flows, then is probed with one at a time")
{
    configure();
    listServer(1);
    listServer(2);
    // Server 1 never responds.
    uint16_t port = 1;
    const auto run = [&](int flows) {
        int toFirst = 0;
        for (int index = 0; index < flows; ++index, ++port) {
            const auto verdict = sendFirst(port);
            toFirst += verdict.number == number(1) ? 1 : 0;
            advance(milliseconds(10));
            if (verdict.number == number(2))
                send(port, verdict.token, 501, true);
        }
        return toFirst;
    };
    run(40);
    CHECK(run(10) == 0);
    CHECK(run(100) <= 4);
}

TEST_CASE_METHOD(
    SteeringFixture, "an unresponsive failure domain gets few new flows until one of its entry VMs reports")
{
    configure();
    listServer(1);
    for (uint64_t value = 11; value <= 16; ++value)
        listServer(value, "notts");
    decider_.handle(now_, Steering::PeerListed { .peer = peer(2), .failureDomain = "notts", .reports = {} });
    uint16_t port = 1;
    const auto run = [&](int flows) {
        int elsewhere = 0;
        for (int index = 0; index < flows; ++index, ++port) {
            const auto verdict = sendFirst(port);
            elsewhere += verdict.number != number(1) ? 1 : 0;
            advance(milliseconds(10));
            // The own domain's server responds, but its requests stay in flight, so that it looks busy.
            if (verdict.number == number(1))
                send(port, verdict.token, 501);
        }
        return elsewhere;
    };
    run(40);
    CHECK(run(30) <= 3);
    REQUIRE(decider_.acceptReport(now_, { .sender = peer(2), .sequence = 9 }));
    CHECK(sendFirst(port++).number != number(1));
}

TEST_CASE_METHOD(
    SteeringFixture, "an entry VM that reaches no server is not ready until a peer of another failure domain reports")
{
    configure();
    synchronize();
    advance(milliseconds(1100));
    listServer(1, "notts");
    listServer(2, "notts");
    decider_.handle(now_, Steering::PeerListed { .peer = peer(2), .failureDomain = "notts", .reports = {} });
    REQUIRE(decider_.acceptReport(now_, { .sender = peer(2), .sequence = 1 }));
    for (uint16_t port = 1; port <= 30; ++port) {
        sendFirst(port);
        advance(milliseconds(10));
    }
    CHECK_FALSE(decider_.isReady(now_));
    advance(milliseconds(3000));
    CHECK_FALSE(decider_.isReady(now_));
    REQUIRE(decider_.acceptReport(now_, { .sender = peer(2), .sequence = 2 }));
    CHECK(decider_.isReady(now_));
}

TEST_CASE_METHOD(SteeringFixture, "isolation ends after three responses, or after 6 s without a first packet")
{
    configure();
    synchronize();
    listServer(1);
    listServer(2);
    advance(milliseconds(1100));
    for (uint16_t port = 1; port <= 30; ++port) {
        sendFirst(port);
        advance(milliseconds(10));
    }
    // Lets the last first packets time out, too.
    advance(milliseconds(200));
    REQUIRE_FALSE(decider_.isReady(now_));
    SECTION("responses")
    {
        for (uint16_t port = 100; port < 103; ++port)
            runFlow(port);
        CHECK(decider_.isReady(now_));
    }
    SECTION("timeout")
    {
        advance(milliseconds(6100));
        CHECK(decider_.isReady(now_));
    }
}

TEST_CASE_METHOD(SteeringFixture, "a minority of a domain's entry VMs leaves callers to a domain that has a majority")
{
    configure();
    synchronize();
    listServer(1);
    const auto addPeer = [&](uint32_t host, const std::string& domain) {
        decider_.handle(now_, Steering::PeerListed { .peer = peer(host), .failureDomain = domain, .reports = {} });
    };
    for (const uint32_t host : { 2, 3, 4 })
        addPeer(host, "brum");
    for (const uint32_t host : { 5, 6 })
        addPeer(host, "notts");
    uint64_t sequence = 0;
    const auto pass = [&](int rounds, const std::vector<uint32_t>& reporting) {
        for (int round = 0; round < rounds; ++round) {
            ++sequence;
            for (const auto host : reporting)
                REQUIRE(decider_.acceptReport(now_, { .sender = peer(host), .sequence = sequence }));
            advance(milliseconds(100));
        }
    };
    pass(20, { 2, 3, 4, 5, 6 });
    REQUIRE(decider_.isReady(now_));
    // Two of four are enough for the fabric.
    pass(20, { 2, 5, 6 });
    CHECK(decider_.isReady(now_));
    pass(15, { 5, 6 });
    CHECK_FALSE(decider_.isReady(now_));
    CHECK(decider_.isOutnumbered());
    pass(5, { 4, 5, 6 });
    CHECK(decider_.isReady(now_));
    pass(15, { 5, 6 });
    REQUIRE_FALSE(decider_.isReady(now_));
    SECTION("the other domain stops reporting, too")
    {
        pass(15, {});
        CHECK(decider_.isReady(now_));
    }
    SECTION("the unresponsive entry VMs are unlisted")
    {
        for (const uint32_t host : { 2, 3, 4 })
            decider_.handle(now_, Steering::PeerUnlisted { .peer = peer(host) });
        pass(5, { 5, 6 });
        CHECK(decider_.isReady(now_));
    }
}

TEST_CASE_METHOD(
    SteeringFixture, "entry VMs that were just added and have not reported yet do not outnumber the others")
{
    configure();
    synchronize();
    listServer(1);
    const auto addPeer = [&](uint32_t host, const std::string& domain) {
        decider_.handle(now_, Steering::PeerListed { .peer = peer(host), .failureDomain = domain, .reports = {} });
    };
    addPeer(2, "notts");
    uint64_t sequence = 0;
    const auto pass = [&](int rounds) {
        for (int round = 0; round < rounds; ++round) {
            REQUIRE(decider_.acceptReport(now_, { .sender = peer(2), .sequence = ++sequence }));
            advance(milliseconds(100));
        }
    };
    pass(20);
    for (const uint32_t host : { 3, 4, 5 })
        addPeer(host, "brum");
    // The added ones report once they have heard of this entry VM, a second later.
    pass(15);
    CHECK(decider_.isReady(now_));
    pass(20);
    CHECK_FALSE(decider_.isReady(now_));
}

TEST_CASE("a cold server's limit holds when entry VMs have different lists of peers")
{
    const auto id = [](uint32_t host) { return SteeringFixture::peer(host); };
    const auto total = [&](const std::vector<std::vector<uint32_t>>& lists, double rate, double slack) {
        std::size_t consumed = 0;
        for (uint32_t self = 0; self < lists.size(); ++self) {
            Steering::WarmUpAllowance allowance({ .self = id(self), .overshoot = 1.5, .slack = slack });
            std::vector<Base::EntryVmId> peers;
            for (const auto host : lists[self])
                peers.push_back(id(host));
            const auto now = Base::TimePoint {} + Base::milliseconds(5000);
            while (allowance.tryConsume(now, { 77 }, rate, peers))
                ++consumed;
        }
        return consumed;
    };
    CHECK(total({ { 1, 2 }, { 0, 2 }, { 0, 1 } }, 0, 5) <= 5);
    CHECK(total({ { 1, 2, 3 }, { 0, 2, 3 }, { 0, 1, 3 }, { 0, 1, 2 } }, 10, 5) <= 20);
    // The newest entry VM is not on the others' lists yet.
    CHECK(total({ { 1 }, { 0 }, { 0, 1 } }, 0, 5) <= 5);
    CHECK(
        total({ { 1, 2, 3, 4, 5, 6, 7 }, { 0, 2, 3, 4, 5, 6, 7 }, { 0, 1, 3, 4, 5, 6, 7 }, { 0, 1, 2, 4, 5, 6, 7 },
                  { 0, 1, 2, 3, 5, 6, 7 }, { 0, 1, 2, 3, 4, 6, 7 }, { 0, 1, 2, 3, 4, 5, 7 }, { 0, 1, 2, 3, 4, 5, 6 } },
            0, 5)
        <= 5);
}

TEST_CASE_METHOD(SteeringFixture, "response timeouts exclude the time in which the host read no packets")
{
    configure();
    synchronize();
    listServer(1);
    listServer(2);
    for (uint16_t port = 1; port <= 30; ++port)
        sendFirst(port);
    // A busy or slow host: responses that arrived meanwhile are unread.
    decider_.recordStall(milliseconds(400));
    now_ += milliseconds(400);
    advance(milliseconds(0));
    CHECK(hedgedAttempts_.empty());
    CHECK(sendFirst(1).kind == Steering::VerdictKind::Forward);
    CHECK(decider_.isReady(now_));
    CHECK(decider_.statistics().attemptTimeouts == 0);
    advance(milliseconds(100));
    CHECK_FALSE(hedgedAttempts_.empty());
}

TEST_CASE_METHOD(SteeringFixture, "first packets that waited during a start do not cause isolation")
{
    configure();
    synchronize();
    listServer(1);
    for (uint16_t port = 1; port <= 30; ++port)
        sendFirst(port);
    advance(milliseconds(300));
    CHECK(decider_.statistics().attemptTimeouts >= 10);
    CHECK(decider_.isReady(now_));
}
