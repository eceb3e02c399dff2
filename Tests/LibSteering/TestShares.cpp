// A route shared by several services: its weights hold, and its flows go where there is room.

#include "Fixture.h"

#include <catch2/catch.hpp>
#include <map>

namespace {

using Steering::Refusal;

/// Services "large" (servers from 100) and "small" (from 200), and "third" (from 300); listed by each test.
class ShareFixture : public SteeringFixture {
public:
    void share(const std::vector<Steering::ServiceShare>& shares)
    {
        auto configuration = std::make_shared<Steering::Configuration>();
        configuration->version = ++revision_;
        configuration->position.revision = revision_;
        configuration->routes.push_back({ .name = "route", .endpoint = service(443), .shares = shares });
        for (const std::string name : { "large", "small", "third" })
            configuration->services.push_back({ .name = name, .warmUp = milliseconds(2000) });
        configuration->idleTimeout = milliseconds(15'000);
        decider_.handle(now_, Steering::ConfigurationChanged { .configuration = configuration });
    }

    void list(const std::string& name, uint64_t value, milliseconds warmUpLeft = milliseconds(0),
        const std::string& domain = "brum")
    {
        decider_.handle(now_,
            Steering::ServerListed { .entry = { .number = number(value),
                                         .service = name,
                                         .address = { .address = { static_cast<uint32_t>(value) }, .port = 80 },
                                         .failureDomain = domain,
                                         .slots = 2,
                                         .warmUpLeft = warmUpLeft,
                                         .startedAt = milliseconds(5) } });
    }

    void listAll()
    {
        for (uint64_t index = 0; index < 4; ++index) {
            list("large", 100 + index);
            list("small", 200 + index);
            list("third", 300 + index);
        }
    }

    /// Opens a flow, whose response then completes, and returns the hundred of its server; 0 if it was refused.
    uint64_t runOne(uint16_t callerPort)
    {
        const auto first = sendFirst(callerPort);
        if (first.kind != Steering::VerdictKind::Forward)
            return 0;
        send(callerPort, first.token);
        send(callerPort, first.token, 900, true);
        return first.number.value / 100;
    }

    std::map<uint64_t, int> run(int flows)
    {
        std::map<uint64_t, int> services;
        for (int count = 0; count < flows; ++count)
            ++services[runOne(port_++)];
        return services;
    }

    /// A peer reports this many requests in flight at each of four servers from this number on.
    void occupy(uint64_t first, uint32_t inFlight)
    {
        decider_.handle(now_, Steering::PeerListed { .peer = peer(2), .failureDomain = "brum", .reports = {} });
        Steering::LoadReport report { .sender = peer(2), .sequence = ++sequence_ };
        for (uint64_t index = 0; index < 4; ++index)
            report.loads.push_back({ .number = number(first + index), .inFlight = inFlight });
        REQUIRE(decider_.acceptReport(now_, report));
    }

private:
    uint64_t revision_ { 10 };
    uint64_t sequence_ { 0 };
    uint16_t port_ { 1 };
};

}

TEST_CASE_METHOD(ShareFixture, "the weights of three services hold on one entry VM, and weight 0 gets no flow")
{
    share({ { "large", 60 }, { "small", 30 }, { "third", 10 } });
    listAll();
    auto services = run(10'000);
    CHECK(std::abs(services[1] - 6000) < 200);
    CHECK(std::abs(services[2] - 3000) < 200);
    CHECK(std::abs(services[3] - 1000) < 200);
    share({ { "large", 90 }, { "small", 10 }, { "third", 0 } });
    services = run(10'000);
    CHECK(std::abs(services[1] - 9000) < 200);
    CHECK(services[3] == 0);
    share({ { "large", 0 }, { "small", 0 } });
    CHECK(run(10) == std::map<uint64_t, int> { { 0, 10 } });
}

TEST_CASE_METHOD(ShareFixture, "flows of a service without a server go to the route's others by their weights")
{
    share({ { "large", 80 }, { "small", 15 }, { "third", 5 } });
    for (uint64_t index = 0; index < 4; ++index) {
        list("small", 200 + index);
        list("third", 300 + index);
    }
    auto services = run(4000);
    CHECK(services[0] == 0);
    CHECK(std::abs(services[2] - 3000) < 150);
    CHECK(std::abs(services[3] - 1000) < 150);
}

TEST_CASE_METHOD(ShareFixture, "no flow goes to a service of weight 0 or one that the route does not name")
{
    share({ { "large", 90 }, { "small", 0 } });
    for (uint64_t index = 0; index < 4; ++index) {
        list("small", 200 + index);
        list("third", 300 + index);
    }
    CHECK(run(200) == std::map<uint64_t, int> { { 0, 200 } });
}

TEST_CASE_METHOD(ShareFixture, "flows of a service without room go to the route's other service, and return later")
{
    share({ { "large", 90 }, { "small", 10 } });
    listAll();
    occupy(100, 20);
    CHECK(run(500)[1] == 0);
    // Room in one server of four would be enough, but the peers' counts may still be those of the full service.
    occupy(100, 0);
    CHECK(run(100)[1] == 0);
    advance(milliseconds(300));
    CHECK(std::abs(run(1000)[1] - 900) < 60);
}

TEST_CASE_METHOD(ShareFixture, "flows stay with their share's service if no service of the route has room")
{
    share({ { "large", 90 }, { "small", 10 } });
    for (uint64_t index = 0; index < 4; ++index)
        list("large", 100 + index);
    list("small", 200);
    occupy(100, 20);
    for (uint16_t port = 20'000; port < 20'100; ++port)
        sendFirst(port);
    const auto services = run(1000);
    CHECK(services.at(1) > 800);
    CHECK_FALSE(services.contains(0));
}

TEST_CASE_METHOD(ShareFixture, "sound servers of another service are preferred to suspect ones of the share's own")
{
    share({ { "large", 90 }, { "small", 10 } });
    list("large", 100);
    list("small", 200);
    // Server 100 never completes a handshake; callers accept server 200 once they are offered it.
    for (uint16_t port = 1; port <= 30; ++port) {
        // Responses take 8 ms, so that the silence of server 100 shows.
        const bool isOffered = sendFirst(port).number == number(200);
        advance(milliseconds(isOffered ? 8 : 100));
        send(port, token(200));
        send(port, token(200), 900, true);
    }
    std::map<uint64_t, int> services;
    for (uint16_t port = 100; port < 200; ++port) {
        const auto first = sendFirst(port);
        ++services[first.number.value / 100];
        if (first.number == number(200))
            send(port, first.token, 900, true);
    }
    CHECK(services[2] >= 98);
}

TEST_CASE_METHOD(ShareFixture, "a cold service gets its flows within its warm-up allowance, and others get the rest")
{
    share({ { "large", 10 }, { "small", 90 } });
    list("large", 100);
    list("small", 200, milliseconds(2000));
    auto services = run(200);
    CHECK(services[0] == 0);
    CHECK(services[2] == 2);
    advance(milliseconds(2100));
    CHECK(run(200)[2] > 150);
}

TEST_CASE_METHOD(
    ShareFixture, "a copy of a first packet goes to the service of the first one while the state is the same")
{
    share({ { "large", 50 }, { "small", 30 }, { "third", 20 } });
    for (uint64_t index = 0; index < 4; ++index) {
        list("small", 200 + index);
        list("third", 300 + index);
    }
    for (uint16_t port = 1; port <= 100; ++port)
        CHECK(sendFirst(port).number.value / 100 == sendFirst(port).number.value / 100);
}

TEST_CASE_METHOD(ShareFixture, "a change of shares moves new flows only")
{
    share({ { "large", 100 } });
    listAll();
    const auto first = sendFirst(1);
    REQUIRE(send(1, first.token).number == first.number);
    share({ { "large", 0 }, { "small", 100 } });
    CHECK(sendData(1, first.token, 1001, 501).number == first.number);
    CHECK(runOne(2) == 2);
}
