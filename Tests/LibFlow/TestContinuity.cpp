#include <LibFlow/Cluster.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace FlowTest;
using namespace std::chrono_literals;

namespace {

constexpr uint16_t firstPort = 1000;
constexpr uint16_t flowCount = 200;

std::map<uint16_t, BackendServerId> openFlows(Cluster& cluster, std::size_t balancers)
{
    std::map<uint16_t, BackendServerId> flows;
    for (uint16_t port = firstPort; port < firstPort + flowCount; ++port)
        flows[port] = cluster.open(port % balancers, port).server;
    return flows;
}

/// Returns the number of flows of which a packet sent to this balancer does not reach their backend server.
std::size_t misroutedFlows(Cluster& cluster, const std::map<uint16_t, BackendServerId>& flows, std::size_t balancer)
{
    return static_cast<std::size_t>(std::count_if(flows.begin(), flows.end(), [&](const auto& flow) {
        auto result = cluster.send(balancer, flow.first, 80, { .ack = true }, 10);
        return result.kind != PacketResult::Kind::Forwarded || result.server != flow.second;
    }));
}

std::shared_ptr<Configuration::Snapshot> withState(uint32_t server, Configuration::BackendServerState state)
{
    auto snapshot = makeSnapshot(14, 2);
    snapshot->services["rota"].backendServers[server - 1].state = state;
    snapshot->services["rota"].changedAt = { 2 };
    return snapshot;
}

}

TEST_CASE("Flows stay on a draining backend server, which gets no new flows", "[continuity]")
{
    Cluster cluster(4, makeSnapshot(14));
    auto flows = openFlows(cluster, 4);
    cluster.configure(withState(3, Configuration::BackendServerState::Draining));
    CHECK(misroutedFlows(cluster, flows, 0) == 0);
    cluster.run(3s);
    CHECK(misroutedFlows(cluster, flows, 3) == 0);
    for (uint16_t port = 5000; port < 5200; ++port)
        REQUIRE(cluster.open(port % 4, port).server.value != 3);
}

TEST_CASE(
    "Flows stay on their backend servers while balancers have different revisions, whichever balancer gets the packet",
    "[continuity]")
{
    Cluster cluster(4, makeSnapshot(14));
    auto flows = openFlows(cluster, 4);
    auto drained = withState(3, Configuration::BackendServerState::Draining);
    for (std::size_t informed = 0; informed < 4; ++informed) {
        cluster.configure(informed, drained);
        for (std::size_t balancer = 0; balancer < 4; ++balancer)
            CHECK(misroutedFlows(cluster, flows, balancer) == 0);
    }
}

TEST_CASE("Duplicates of a first packet reach the same backend server while balancers have different revisions",
    "[continuity]")
{
    Cluster cluster(4, makeSnapshot(14));
    auto drained = withState(3, Configuration::BackendServerState::Draining);
    cluster.configure(1, drained);
    cluster.configure(2, drained);
    for (uint16_t port = 1; port < 300; ++port) {
        auto first = cluster.send(port % 4, port, 81, {}, 50);
        auto copy = cluster.send((port + 1) % 4, port, 81, {}, 50);
        if (first.kind == PacketResult::Kind::Forwarded && copy.kind == PacketResult::Kind::Forwarded)
            REQUIRE(first.server == copy.server);
        cluster.respond(0, first.server, port, 81, {}, 20);
    }
}

TEST_CASE("Flows survive the loss of a balancer and its restart without state", "[continuity]")
{
    Cluster cluster(4, makeSnapshot(14));
    auto flows = openFlows(cluster, 4);
    cluster.run(2s);
    cluster.kill(1);
    // The record of a flow may have been only on the lost balancer and the holder of its copy, so its backend server
    // may be guessed wrong at first: the reset from that server must not reach the caller.
    for (const auto& [port, server] : flows) {
        auto result = cluster.send(0, port, 80, { .ack = true }, 10);
        REQUIRE(result.kind == PacketResult::Kind::Forwarded);
        if (result.server != server)
            REQUIRE(cluster.respond(0, result.server, port, 80, { .rst = true }).kind == PacketResult::Kind::Dropped);
    }
    cluster.run(200ms);
    CHECK(misroutedFlows(cluster, flows, 0) == 0);
    cluster.run(2s);
    cluster.restart(1);
    CHECK(misroutedFlows(cluster, flows, 1) == 0);
    cluster.run(3s);
    CHECK(misroutedFlows(cluster, flows, 2) == 0);
}

TEST_CASE("Flows survive a balancer leaving, which completes within 3 s", "[continuity]")
{
    Cluster cluster(4, makeSnapshot(14));
    auto flows = openFlows(cluster, 4);
    cluster.leave(2);
    CHECK(misroutedFlows(cluster, flows, 0) == 0);
    cluster.run(3s);
    CHECK(cluster.at(2).hasLeft());
    CHECK(misroutedFlows(cluster, flows, 3) == 0);
    cluster.kill(2);
    CHECK(misroutedFlows(cluster, flows, 1) == 0);
}

TEST_CASE("A backend server that was taken out gets no packets, and its flows are refused", "[continuity]")
{
    Cluster cluster(2, makeSnapshot(14));
    auto flows = openFlows(cluster, 2);
    cluster.configure(withState(3, Configuration::BackendServerState::Out));
    cluster.run(1s);
    for (const auto& [port, server] : flows) {
        auto result = cluster.send(port % 2, port, 80, { .ack = true }, 10);
        if (server.value == 3)
            CHECK(result.kind == PacketResult::Kind::Refused);
        else
            CHECK(result.server == server);
    }
}

TEST_CASE("A reused five-tuple opens a new flow, and late responses to the old flow are dropped", "[continuity]")
{
    Cluster cluster(2, makeSnapshot(14));
    auto old = cluster.open(0, 77);
    cluster.send(0, 77, 80, { .ack = true, .fin = true });
    cluster.respond(1, old.server, 77, 80, { .ack = true, .fin = true });
    auto reused = cluster.open(1, 77);
    REQUIRE(reused.kind == PacketResult::Kind::Forwarded);
    BackendServerId other { old.server.value == 1 ? 2U : 1U };
    CHECK(cluster.respond(0, other, 77, 80, { .rst = true }).kind == PacketResult::Kind::Dropped);
}

TEST_CASE("A refused first packet is retried on another backend server within the retry budget", "[continuity]")
{
    Cluster cluster(1, makeSnapshot(3));
    for (uint16_t port = 1; port <= 20; ++port)
        cluster.open(0, port);
    auto first = cluster.syn(0, 99);
    auto token = cluster.lastToken();
    CHECK(cluster.respond(0, first.server, 99, 80, { .ack = true, .rst = true }).kind == PacketResult::Kind::Dropped);
    CHECK(cluster.result(token).server != first.server);
    CHECK(cluster.at(0).statistics().count(RetryReason::BackendServerRefused) == 1);
}

TEST_CASE("Unknown senders, stale views and stale configurations are rejected without actions", "[continuity]")
{
    Cluster cluster(2, makeSnapshot(3));
    Actions actions;
    auto error = Base::captureError([&] { return cluster.at(0).handlePeerMessage(cluster.now(), { 5 }, {}, actions); });
    CHECK(error->code == Base::ErrorCode::Unauthenticated);
    CHECK(
        Base::captureError([&] { return cluster.at(0).setPeers(cluster.now(), {}); })->code == Base::ErrorCode::Stale);
    CHECK(Base::captureError([&] { return cluster.at(0).setConfiguration(cluster.now(), makeSnapshot(3, 0)); })->code
        == Base::ErrorCode::Stale);
    CHECK(actions.empty());
}
