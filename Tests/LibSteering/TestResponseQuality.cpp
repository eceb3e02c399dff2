#include "Fixture.h"

#include <catch2/catch.hpp>
#include <map>

namespace {

/// Four servers; serve returns how many flows each of them got.
class ResponseFixture : public SteeringFixture {
public:
    ResponseFixture()
    {
        configure();
        for (uint64_t value = 1; value <= 4; ++value)
            listServer(value);
    }

    std::map<uint64_t, int> serve(
        int flows, const std::function<uint32_t(Steering::BackendServerNumber)>& responseBytes)
    {
        std::map<uint64_t, int> served;
        for (int count = 0; count < flows; ++count)
            ++served[runRequest(port_++, responseBytes).value];
        return served;
    }

    static uint32_t completeResponse(Steering::BackendServerNumber) { return 2000; }

private:
    uint16_t port_ { 1 };
};

}

TEST_CASE_METHOD(ResponseFixture, "a server that fails its requests quickly gets few new flows")
{
    serve(200, completeResponse);
    const auto served = serve(1000, [](auto server) { return server == number(1) ? 150 : 2000; });
    // By load alone it would get a quarter.
    CHECK(served.at(1) < 30);
    CHECK(decider_.statistics().shortResponses > 0);
    REQUIRE_FALSE(decisions_.empty());
    CHECK(decisions_.back().kind != Steering::FlowDecision::Kind::Refused);
}

TEST_CASE_METHOD(
    ResponseFixture, "a server that fails part of its requests gets fewer flows, and its share again afterwards")
{
    serve(200, completeResponse);
    uint64_t turn = 0;
    const auto served = serve(1000, [&](auto server) { return server == number(1) && ++turn % 5 < 2 ? 150u : 2000u; });
    CHECK(served.at(1) < 100);
    advance(milliseconds(11'000));
    CHECK(serve(400, completeResponse).at(1) > 60);
}

TEST_CASE_METHOD(ResponseFixture, "response lengths that vary alike at all servers cause few back-off periods")
{
    uint64_t turn = 0;
    const auto varying = [&](auto) { return ++turn % 3 == 0 ? 200u : 2000u; };
    serve(2000, varying);
    const auto backOffsBefore = decider_.statistics().shortResponses;
    for (const auto& [server, flows] : serve(1000, varying))
        CHECK(flows > 150);
    CHECK(decider_.statistics().shortResponses - backOffsBefore < 100);
}

TEST_CASE_METHOD(ResponseFixture, "a service whose servers all fail keeps using all of them")
{
    serve(200, completeResponse);
    const auto failing = [](auto) { return 150; };
    // Lets the back-off periods end that began before all servers were known to fail.
    serve(2000, failing);
    for (const auto& [server, flows] : serve(1000, failing))
        CHECK(flows > 100);
}

TEST_CASE_METHOD(ResponseFixture, "a request on an open flow counts as in flight until its response begins")
{
    const auto first = sendFirst(1);
    sendData(1, first.token, 1001, 501);
    REQUIRE(decider_.ownLoads().size() == 1);
    send(1, first.token, 1701);
    CHECK(decider_.ownLoads().empty());
    sendData(1, first.token, 1101, 2501);
    REQUIRE(decider_.ownLoads().size() == 1);
    CHECK(decider_.ownLoads()[0].number == first.number);
    // Retransmitted data of the first request is no new request.
    send(1, first.token, 3001);
    sendData(1, first.token, 1001, 3001);
    CHECK(decider_.ownLoads().empty());
}

TEST_CASE_METHOD(ResponseFixture, "short responses of a full server are rejections and start no back-off period")
{
    serve(200, completeResponse);
    std::vector<std::pair<uint16_t, Steering::FlowToken>> flowsOfServer;
    for (uint16_t port = 1000; port < 1040; ++port) {
        const auto first = sendFirst(port);
        if (first.number == number(1))
            flowsOfServer.emplace_back(port, first.token);
    }
    REQUIRE(flowsOfServer.size() == 10);
    advance(milliseconds(4));
    for (const auto& [port, token] : flowsOfServer)
        sendData(port, token, 1001, 501);
    // Six of them, three for each slot, are still in flight afterwards.
    for (std::size_t index = 0; index < 4; ++index) {
        const auto& [port, token] = flowsOfServer[index];
        const Steering::PacketView end { .flow = flow(port),
            .token = token,
            .acknowledges = true,
            .ends = true,
            .sequence = 1101,
            .acknowledged = 551 };
        decider_.decide(now_, end, Steering::FirstPacketBytes {});
    }
    CHECK(decider_.statistics().shortResponses == 0);
}
