#include "Fixture.h"

#include <catch2/catch.hpp>

TEST_CASE_METHOD(SteeringFixture, "readiness needs a configuration and the whole of the store's records")
{
    CHECK_FALSE(decider_.isReady(now_));
    synchronize();
    CHECK_FALSE(decider_.isReady(now_));
    configure();
    CHECK(decider_.isReady(now_));
    decider_.stop();
    CHECK_FALSE(decider_.isReady(now_));
}

TEST_CASE_METHOD(SteeringFixture, "a server that stays silent is left alone, then tried with one flow at a time")
{
    configure();
    list(1);
    list(2);
    // Server 1 answers nothing.
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

TEST_CASE_METHOD(SteeringFixture, "a failure domain that stays silent is left alone until a peer there is heard of")
{
    configure();
    list(1);
    for (uint64_t value = 11; value <= 16; ++value)
        list(value, "notts");
    decider_.handle(now_, Steering::PeerListed { .peer = peer(2), .failureDomain = "notts", .reports = {} });
    uint16_t port = 1;
    const auto run = [&](int flows) {
        int elsewhere = 0;
        for (int index = 0; index < flows; ++index, ++port) {
            const auto verdict = sendFirst(port);
            elsewhere += verdict.number != number(1) ? 1 : 0;
            advance(milliseconds(10));
            // Own servers answer, but keep their work, so that they look busy.
            if (verdict.number == number(1))
                send(port, verdict.token, 501);
        }
        return elsewhere;
    };
    run(40);
    CHECK(run(30) <= 3);
    REQUIRE(decider_.takeReport(now_, { .sender = peer(2), .sequence = 9 }));
    CHECK(sendFirst(port++).number != number(1));
}

TEST_CASE_METHOD(SteeringFixture, "an entry VM that reaches no server is not ready until a peer elsewhere is heard of")
{
    configure();
    synchronize();
    advance(milliseconds(1100));
    list(1, "notts");
    list(2, "notts");
    decider_.handle(now_, Steering::PeerListed { .peer = peer(2), .failureDomain = "notts", .reports = {} });
    REQUIRE(decider_.takeReport(now_, { .sender = peer(2), .sequence = 1 }));
    for (uint16_t port = 1; port <= 30; ++port) {
        sendFirst(port);
        advance(milliseconds(10));
    }
    CHECK_FALSE(decider_.isReady(now_));
    advance(milliseconds(3000));
    CHECK_FALSE(decider_.isReady(now_));
    REQUIRE(decider_.takeReport(now_, { .sender = peer(2), .sequence = 2 }));
    CHECK(decider_.isReady(now_));
}

TEST_CASE_METHOD(SteeringFixture, "isolation ends with answers, and after a while without any sign")
{
    configure();
    synchronize();
    list(1);
    list(2);
    advance(milliseconds(1100));
    for (uint16_t port = 1; port <= 30; ++port) {
        sendFirst(port);
        advance(milliseconds(10));
    }
    // The last first packets' time runs out, too.
    advance(milliseconds(200));
    REQUIRE_FALSE(decider_.isReady(now_));
    SECTION("answers")
    {
        for (uint16_t port = 100; port < 103; ++port)
            serveOne(port);
        CHECK(decider_.isReady(now_));
    }
    SECTION("time")
    {
        advance(milliseconds(6100));
        CHECK(decider_.isReady(now_));
    }
}

TEST_CASE_METHOD(SteeringFixture, "the last of a domain's entry VMs leave its callers to domains with more of them")
{
    configure();
    synchronize();
    list(1);
    const auto listPeer = [&](uint32_t host, const std::string& domain) {
        decider_.handle(now_, Steering::PeerListed { .peer = peer(host), .failureDomain = domain, .reports = {} });
    };
    for (const uint32_t host : { 2, 3, 4 })
        listPeer(host, "brum");
    for (const uint32_t host : { 5, 6 })
        listPeer(host, "notts");
    uint64_t sequence = 0;
    const auto pass = [&](int rounds, const std::vector<uint32_t>& reporting) {
        for (int round = 0; round < rounds; ++round) {
            ++sequence;
            for (const auto host : reporting)
                REQUIRE(decider_.takeReport(now_, { .sender = peer(host), .sequence = sequence }));
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
    SECTION("the other domain falls silent, too")
    {
        pass(15, {});
        CHECK(decider_.isReady(now_));
    }
    SECTION("the silent ones are no longer listed")
    {
        for (const uint32_t host : { 2, 3, 4 })
            decider_.handle(now_, Steering::PeerUnlisted { .peer = peer(host) });
        pass(5, { 5, 6 });
        CHECK(decider_.isReady(now_));
    }
}

TEST_CASE("a cold server's limit holds when each entry VM knows another list of peers")
{
    const auto id = [](uint32_t host) { return SteeringFixture::peer(host); };
    const auto total = [&](const std::vector<std::vector<uint32_t>>& lists, double rate, double slack) {
        std::size_t taken = 0;
        for (uint32_t self = 0; self < lists.size(); ++self) {
            Steering::WarmUpAllowance allowance({ .self = id(self), .overshoot = 1.5, .slack = slack });
            std::vector<Base::EntryVmId> peers;
            for (const auto host : lists[self])
                peers.push_back(id(host));
            const auto now = Base::TimePoint {} + Base::milliseconds(5000);
            while (allowance.tryTake(now, { 77 }, rate, peers))
                ++taken;
        }
        return taken;
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

TEST_CASE_METHOD(SteeringFixture, "silence does not count for the time in which the host read no packets")
{
    configure();
    synchronize();
    list(1);
    list(2);
    for (uint16_t port = 1; port <= 30; ++port)
        sendFirst(port);
    // A busy or slow host: answers that came meanwhile are unread.
    decider_.noteInattention(milliseconds(400));
    now_ += milliseconds(400);
    advance(milliseconds(0));
    CHECK(reoffers_.empty());
    CHECK(sendFirst(1).kind == Steering::VerdictKind::Forward);
    CHECK(decider_.isReady(now_));
    CHECK(decider_.statistics().unanswered == 0);
    advance(milliseconds(100));
    CHECK_FALSE(reoffers_.empty());
}

TEST_CASE_METHOD(SteeringFixture, "first packets that waited through a start say nothing about isolation")
{
    configure();
    synchronize();
    list(1);
    for (uint16_t port = 1; port <= 30; ++port)
        sendFirst(port);
    advance(milliseconds(300));
    CHECK(decider_.statistics().unanswered >= 10);
    CHECK(decider_.isReady(now_));
}
