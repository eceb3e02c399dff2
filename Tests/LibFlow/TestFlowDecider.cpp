#include <LibFlow/Cluster.h>
#include <catch2/catch.hpp>
#include <set>

using namespace FlowTest;
using namespace std::chrono_literals;

TEST_CASE("Creating a flow decider fails with invalid options", "[flow]")
{
    auto create
        = [](FlowDecider::Options options) { return Base::capture([&] { return FlowDecider::create(options); }); };
    CHECK(create({}).error.code == Base::ErrorCode::InvalidArgument);
    CHECK(create({ .self = { 1 }, .maximumFlows = 0 }).error.code == Base::ErrorCode::InvalidArgument);
    CHECK(create({ .self = { 1 } }).isOk());
}

TEST_CASE("Packets are dropped before the first configuration", "[flow]")
{
    Cluster cluster(1, nullptr);
    auto result = cluster.syn(0, 1000);
    CHECK(result.kind == PacketResult::Kind::Dropped);
    CHECK(result.drop == DropReason::NotReady);
}

TEST_CASE("Every packet of a flow reaches the backend server of its first packet, through any balancer", "[flow]")
{
    Cluster cluster(4, makeSnapshot(14));
    std::set<uint32_t> used;
    for (uint16_t port = 1000; port < 1400; ++port) {
        auto first = cluster.open(port % 4, port);
        REQUIRE(first.kind == PacketResult::Kind::Forwarded);
        used.insert(first.server.value);
        for (std::size_t balancer = 0; balancer < 4; ++balancer) {
            auto next = cluster.send(balancer, port, 80, { .ack = true }, 100);
            REQUIRE(next.kind == PacketResult::Kind::Forwarded);
            REQUIRE(next.server == first.server);
            REQUIRE(cluster.syn(balancer, port).server == first.server);
        }
    }
    CHECK(used.size() == 14);
}

TEST_CASE("Packets to unknown addresses and from unknown backend servers are dropped", "[flow]")
{
    Cluster cluster(2, makeSnapshot(2));
    CHECK(cluster.syn(0, 1, 9999).drop == DropReason::UnknownAddress);
    CHECK(cluster.respond(0, { 77 }, 1, 80, { .ack = true }).drop == DropReason::UnknownBackendServer);
}

TEST_CASE("The connection limit of a backend server holds across all balancers", "[flow]")
{
    auto snapshot = makeSnapshot(2);
    for (auto& server : snapshot->services["rota"].backendServers)
        server.connections = 5;
    Cluster cluster(3, snapshot);
    int forwarded = 0;
    for (uint16_t port = 1; port <= 40; ++port)
        forwarded += cluster.open(port % 3, port).kind == PacketResult::Kind::Forwarded ? 1 : 0;
    CHECK(forwarded == 10);
    CHECK(cluster.connections({ 1 }) == 5);
    CHECK(cluster.connections({ 2 }) == 5);
    cluster.run(2500ms);
    CHECK(cluster.result(cluster.lastToken()).kind == PacketResult::Kind::Refused);
    CHECK(cluster.result(cluster.lastToken()).truth == ExecutionStatus::NotRun);
}
