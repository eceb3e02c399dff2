#include "Fixture.h"

#include <LibSteering/Process/ServiceTimes.h>
#include <catch2/catch.hpp>
#include <set>

namespace {

using namespace Steering;
using Base::microseconds;
using Base::milliseconds;

/// Nine servers of one service, numbered from 1.
class ServiceTimesFixture {
public:
    ServiceTimesFixture()
    {
        for (uint64_t value = 1; value <= 9; ++value)
            list(value);
    }

    void list(uint64_t value, milliseconds startedAt = milliseconds(5))
    {
        servers_.addOrUpdate(now_,
            { .number = { value },
                .service = "rota",
                .address = { .address = { static_cast<uint32_t>(value) }, .port = 80 },
                .failureDomain = "brum",
                .slots = 2,
                .startedAt = startedAt },
            {});
    }

    static Base::Ipv4Endpoint service(uint16_t port) { return { .address = { 0xC6120001 }, .port = port }; }

    /// Responses of all servers; factorOfFirst: how much longer server 1 takes. 3% of the requests take seven times as
    /// long, and all vary by a fifth.
    void respond(int rounds, double factorOfFirst, uint16_t port = 443, double milliseconds = 50)
    {
        for (int round = 0; round < rounds; ++round) {
            now_ += Base::milliseconds(50);
            for (uint64_t value = 1; value <= 9; ++value) {
                const double time = milliseconds * 1000 * (0.8 + 0.4 * random_.unit()) * (random_.chance(0.03) ? 7 : 1)
                    * (value == 1 ? factorOfFirst : 1);
                times_.recordResponse(now_, service(port), { value }, microseconds(static_cast<int64_t>(time)));
            }
            times_.update(now_);
        }
    }

    void pass(milliseconds time)
    {
        now_ += time;
        times_.update(now_);
    }

    Server& at(uint64_t value) { return servers_.at(*servers_.find({ value })); }
    double relativeTime(uint64_t value) { return at(value).relativeServiceTime; }

protected:
    Base::TimePoint now_ { milliseconds(1000) };
    Base::Random random_ { 3 };
    ServerTable servers_ { {} };
    ServiceTimes times_ { {}, servers_ };
};

/// Four servers, of which server 1 takes three times as long as the others.
class SlowServerFixture : public SteeringFixture {
public:
    SlowServerFixture()
    {
        configure();
        for (uint64_t value = 1; value <= 4; ++value)
            listServer(value);
        decider_.handle(now_, PeerListed { .peer = peer(2), .failureDomain = "brum", .reports = {} });
    }

    /// Runs requests one after the other, while a peer has this many in flight at each server.
    void run(int requests, uint32_t peersInFlight)
    {
        for (int count = 0; count < requests; ++count) {
            LoadReport report { .sender = peer(2), .sequence = ++sequence_ };
            for (uint64_t value = 1; value <= 4; ++value)
                report.loads.push_back({ .number = number(value), .inFlight = peersInFlight });
            REQUIRE(decider_.acceptReport(now_, report));
            const auto first = sendFirst(++port_);
            advance(milliseconds(4));
            sendData(port_, first.token, 1001, 501);
            advance(milliseconds(first.number == number(1) ? 60 : 20));
            send(port_, first.token, 900);
            send(port_, first.token, 1000, true);
        }
        advance(milliseconds(1000));
    }

private:
    uint64_t sequence_ { 0 };
    uint16_t port_ { 0 };
};

}

TEST_CASE_METHOD(ServiceTimesFixture, "equal servers have a relative service time of exactly 1, and none is reported")
{
    for (int second = 0; second < 100; ++second) {
        respond(20, 1);
        for (uint64_t value = 1; value <= 9; ++value)
            REQUIRE(relativeTime(value) == 1);
        REQUIRE(times_.ownSpeeds().empty());
    }
}

TEST_CASE_METHOD(ServiceTimesFixture, "a slow server shows within seconds, and again when it is as fast as the others")
{
    respond(200, 1);
    respond(100, 2);
    CHECK(relativeTime(1) > 1.7);
    CHECK(relativeTime(1) < 2.3);
    REQUIRE(times_.ownSpeeds().size() == 1);
    CHECK(times_.ownSpeeds()[0].number.value == 1);
    respond(200, 1);
    CHECK(relativeTime(1) == 1);
}

TEST_CASE_METHOD(ServiceTimesFixture, "service addresses with different work do not make servers differ")
{
    for (int round = 0; round < 400; ++round) {
        respond(1, 1, 443, 50);
        // Only server 2 gets the long requests of the other address.
        times_.recordResponse(now_, service(444), { 2 }, milliseconds(400));
    }
    CHECK(relativeTime(2) == 1);
}

TEST_CASE_METHOD(ServiceTimesFixture, "an estimate without new samples approaches that of the service")
{
    respond(300, 3);
    const auto before = relativeTime(1);
    pass(milliseconds(30'000));
    CHECK(relativeTime(1) < before * 0.75);
    pass(milliseconds(120'000));
    CHECK(relativeTime(1) == 1);
}

TEST_CASE_METHOD(ServiceTimesFixture, "an estimate of a peer is used while its reports arrive")
{
    const std::vector<ServerSpeed> speeds { { .number = { 4 }, .relativeThousandths = 1600 } };
    times_.acceptReport(now_, { 2 }, speeds);
    pass(milliseconds(1000));
    CHECK(relativeTime(4) == Approx(1.6));
    CHECK(times_.ownSpeeds().empty());
    pass(milliseconds(3000));
    CHECK(relativeTime(4) == 1);
}

TEST_CASE_METHOD(
    ServiceTimesFixture, "a load report names eight of the servers that differ, and the next one the others")
{
    for (uint64_t value = 10; value <= 40; ++value)
        list(value);
    for (int round = 0; round < 100; ++round) {
        now_ += milliseconds(50);
        for (uint64_t value = 1; value <= 40; ++value)
            times_.recordResponse(now_, service(443), { value }, microseconds(value <= 12 ? 120'000 : 40'000));
        times_.update(now_);
    }
    REQUIRE(times_.ownSpeeds().size() == 12);
    std::set<BackendServerNumber> reported;
    for (int report = 0; report < 2; ++report) {
        const auto speeds = times_.takeReportedSpeeds();
        CHECK(speeds.size() == 8);
        for (const auto& speed : speeds)
            reported.insert(speed.number);
    }
    CHECK(reported.size() == 12);
}

TEST_CASE_METHOD(ServiceTimesFixture, "a server that fails requests quickly does not count as fast")
{
    respond(200, 1);
    at(1).shortResponseShare = 0.5;
    respond(200, 0.3);
    CHECK(relativeTime(1) == 1);
}

TEST_CASE_METHOD(ServiceTimesFixture, "a restarted server is like its service until it is measured")
{
    respond(300, 3);
    REQUIRE(relativeTime(1) > 2);
    list(1, milliseconds(90'000));
    pass(milliseconds(1000));
    CHECK(relativeTime(1) == 1);
}

TEST_CASE_METHOD(SlowServerFixture, "an entry VM measures the responses it sees, and reports a slow server")
{
    run(400, 0);
    const auto reported = decider_.takeReportedSpeeds();
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].number == number(1));
    CHECK(reported[0].relativeThousandths > 2000);
}

TEST_CASE_METHOD(SlowServerFixture, "requests that may have waited for a slot do not count as slow")
{
    run(400, 2);
    CHECK(decider_.takeReportedSpeeds().empty());
}
