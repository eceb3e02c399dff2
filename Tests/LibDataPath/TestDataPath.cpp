#include "FakeDecider.h"

#include <LibDataPath/DataPath.h>
#include <LibPacket/PacketBuilder.h>
#include <LibPeer/Sockets.h>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr Base::Ipv4Endpoint anyLoopbackPort { { 0x7F000001 }, 0 };
const Base::Ipv4Endpoint caller { { 0x0A000001 }, 40000 };
const Base::Ipv4Endpoint service { { 0xC6336401 }, 443 };
const std::string key = "a key for the test of the data path";
constexpr int receiveTimeoutMs = 30'000;

/// A UDP socket that simulates a backend server, the fabric or another balancer.
class TestSocket {
public:
    TestSocket()
        : socket_(*Base::capture([] { return Peer::bindUdp(anyLoopbackPort, false); }).value)
    {
    }
    ~TestSocket() { ::close(socket_); }
    TestSocket(const TestSocket&) = delete;
    TestSocket& operator=(const TestSocket&) = delete;

    Base::Ipv4Endpoint endpoint() const { return Peer::localEndpoint(socket_); }

    void send(const Base::Ipv4Endpoint& to, const std::vector<std::byte>& bytes) const
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(to.address.value);
        address.sin_port = htons(to.port);
        const auto sent = ::sendto(
            socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        REQUIRE(sent == static_cast<ssize_t>(bytes.size()));
    }

    std::vector<std::byte> receive() const
    {
        pollfd entry { .fd = socket_, .events = POLLIN, .revents = 0 };
        REQUIRE(::poll(&entry, 1, receiveTimeoutMs) == 1);
        std::vector<std::byte> bytes(2048);
        bytes.resize(static_cast<std::size_t>(::recv(socket_, bytes.data(), bytes.size(), 0)));
        return bytes;
    }

private:
    int socket_;
};

std::vector<std::byte> tcp(const Base::Ipv4Endpoint& from, const Base::Ipv4Endpoint& to, Packet::TcpFlags flags)
{
    std::vector<std::byte> packet(64);
    packet.resize(Packet::buildTcp(packet, { .source = from, .destination = to, .flags = flags }, {}));
    return packet;
}

/// A running data path with one backend server (id 7) and a fake decider, whose events are read after stop().
class DataPathFixture {
public:
    explicit DataPathFixture(std::function<void(const Flow::PacketEvent&, Flow::Actions&)> decide)
    {
        auto decider = std::make_unique<Tests::FakeDecider>();
        decider_ = decider.get();
        decider_->decide = std::move(decide);
        auto path = Base::capture([&] {
            return DataPath::DataPath::create(
                { .endpoint = anyLoopbackPort,
                    .workers = 1,
                    .buffersPerWorker = 256,
                    .ringCapacity = 256,
                    .self = { 1 },
                    .keys = { key },
                    .decide = { .fabric = fabric.endpoint(), .onStatistics = [](const Flow::FlowDecider&) {} } },
                std::move(decider));
        });
        REQUIRE(path.isOk());
        path_ = std::move(*path.value);
        Configuration::Service rota { .id = { 1 }, .name = "rota", .addresses = { service.address } };
        rota.backendServers = { { .id = { 7 }, .name = "rota-1", .tunnel = backendServer.endpoint() } };
        Configuration::Snapshot snapshot { .revision = { 1 } };
        snapshot.services["rota"] = rota;
        DataPath::PeersInput peers { .view = { .version = 1, .peers = {} } };
        peers.dataEndpoints[{ 2 }] = peer.endpoint();
        path_->decideThread().push(peers);
        path_->decideThread().push(std::make_shared<const Configuration::Snapshot>(snapshot));
        path_->start();
        while (!path_->decideThread().revision().isValid())
            std::this_thread::yield();
    }

    Base::Ipv4Endpoint endpoint() const { return path_->endpoint(); }
    const DataPath::WorkerCounters& counters() const { return path_->workers().front()->counters(); }
    const DataPath::DecideCounters& decideCounters() { return path_->decideThread().counters(); }
    const std::vector<Flow::PacketEvent>& stop()
    {
        path_->stop();
        return decider_->events;
    }

    TestSocket fabric;
    TestSocket backendServer;
    TestSocket peer;

private:
    Tests::FakeDecider* decider_ { nullptr };
    std::unique_ptr<DataPath::DataPath> path_;
};

void forwardBothWays(const Flow::PacketEvent& event, Flow::Actions& actions)
{
    if (event.packet.direction == Packet::Direction::ToCaller)
        actions.emplace_back(Flow::ForwardToCaller { .packet = event.token });
    else
        actions.emplace_back(Flow::ForwardToBackendServer { .packet = event.token, .backendServer = { 7 } });
}

std::vector<std::byte> handOver(const Packet::HandOverHeader& header, const std::vector<std::byte>& packet)
{
    std::vector<std::byte> datagram(Packet::handOverHeaderBytes);
    Packet::encodeHandOver(
        std::span(datagram).first<Packet::handOverHeaderBytes>(), header, packet, Packet::HandOverKey(key));
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    return datagram;
}

}

TEST_CASE("Packets are forwarded unchanged to the backend server and back to the fabric")
{
    DataPathFixture fixture(forwardBothWays);
    const auto first = tcp(caller, service, { .syn = true });
    fixture.fabric.send(fixture.endpoint(), first);
    CHECK(fixture.backendServer.receive() == first);
    const auto response = tcp(service, caller, { .syn = true, .ack = true });
    fixture.backendServer.send(fixture.endpoint(), response);
    CHECK(fixture.fabric.receive() == response);
    const auto& events = fixture.stop();
    REQUIRE(events.size() == 2);
    CHECK(events[0].packet.key.caller == caller);
    CHECK(events[1].packet.key.caller == caller);
    CHECK(events[1].backendServer.value == 7);
    CHECK(events[1].packet.direction == Packet::Direction::ToCaller);
}

TEST_CASE("Responses that arrive by hand-over keep the id of their backend server")
{
    DataPathFixture fixture(forwardBothWays);
    fixture.peer.send(fixture.endpoint(),
        handOver({ .hops = 1, .backendServer = { 7 }, .origin = { 2 }, .sender = { 2 } },
            tcp(service, caller, { .ack = true })));
    CHECK_FALSE(fixture.fabric.receive().empty());
    fixture.peer.send(fixture.endpoint(),
        handOver({ .hops = 2, .backendServer = { 7 }, .origin = { 2 }, .sender = { 2 } },
            tcp(caller, service, { .ack = true })));
    CHECK_FALSE(fixture.backendServer.receive().empty());
    const auto& events = fixture.stop();
    REQUIRE(events.size() == 2);
    CHECK(events[0].packet.direction == Packet::Direction::ToCaller);
    CHECK(events[0].backendServer.value == 7);
    CHECK(events[1].packet.direction == Packet::Direction::ToBackendServer);
    CHECK_FALSE(events[1].backendServer.isValid());
    CHECK(events[1].handOver.hops == 2);
}

TEST_CASE("Handed-over packets carry the header and are unchanged")
{
    DataPathFixture fixture([](const Flow::PacketEvent& event, Flow::Actions& actions) {
        actions.emplace_back(Flow::HandOverToPeer { .packet = event.token,
            .peer = { 2 },
            .header = { .reason = Flow::HandOverReason::Spill, .hops = 3, .origin = { 1 }, .flowOwnerId = { 1 } } });
    });
    const auto packet = tcp(caller, service, { .syn = true });
    fixture.fabric.send(fixture.endpoint(), packet);
    const auto datagram = fixture.peer.receive();
    const std::array keys { Packet::HandOverKey(key) };
    Packet::HandOverHeader header;
    REQUIRE_FALSE(Packet::decodeHandOver(datagram, keys, header));
    CHECK(header.hops == 3);
    CHECK(header.sender.value == 1);
    CHECK(header.reason == static_cast<uint8_t>(Flow::HandOverReason::Spill));
    CHECK(std::equal(packet.begin(), packet.end(), datagram.begin() + Packet::handOverHeaderBytes, datagram.end()));
}

TEST_CASE("Retained copies can be sent again until they are released; unknown tokens are counted")
{
    DataPathFixture fixture([](const Flow::PacketEvent& event, Flow::Actions& actions) {
        const Flow::ForwardToBackendServer forward { .packet = event.token, .backendServer = { 7 } };
        actions.emplace_back(forward);
        actions.emplace_back(Flow::KeepCopy { .packet = event.token });
        actions.emplace_back(forward);
        actions.emplace_back(Flow::ReleasePacket { .packet = event.token });
        actions.emplace_back(forward);
        actions.emplace_back(Flow::DropPacket { .packet = 0xFFFFFFFF });
    });
    const auto packet = tcp(caller, service, { .syn = true });
    fixture.fabric.send(fixture.endpoint(), packet);
    CHECK(fixture.backendServer.receive() == packet);
    CHECK(fixture.backendServer.receive() == packet);
    fixture.stop();
    CHECK(fixture.counters().sent.value() == 2);
    CHECK(fixture.decideCounters().invalidTokens.value() == 2);
}

TEST_CASE("Refusals of TCP packets are sent to the fabric as resets")
{
    DataPathFixture fixture([](const Flow::PacketEvent& event, Flow::Actions& actions) {
        actions.emplace_back(Flow::RefuseToCaller { .packet = event.token, .truth = Flow::ExecutionStatus::NotRun });
    });
    fixture.fabric.send(fixture.endpoint(), tcp(caller, service, { .syn = true }));
    const auto bytes = fixture.fabric.receive();
    Packet::Ipv4Packet reset;
    REQUIRE_FALSE(Packet::parseIpv4Packet(bytes, {}, reset));
    CHECK(reset.flags.rst);
    CHECK(reset.destination == caller);
}

TEST_CASE("Invalid datagrams are counted and do not reach the decider")
{
    DataPathFixture fixture(forwardBothWays);
    auto badChecksum = tcp(caller, service, { .syn = true });
    badChecksum.back() ^= std::byte { 1 };
    fixture.fabric.send(fixture.endpoint(), badChecksum);
    fixture.fabric.send(fixture.endpoint(), { std::byte { 0x45 } });
    fixture.fabric.send(fixture.endpoint(), std::vector<std::byte>(4000, std::byte { 0x45 }));
    auto unauthenticated = handOver({ .origin = { 2 }, .sender = { 2 } }, tcp(caller, service, { .syn = true }));
    unauthenticated[1] = std::byte { 1 };
    fixture.fabric.send(fixture.endpoint(), unauthenticated);
    fixture.fabric.send(fixture.endpoint(),
        handOver({ .reason = 99, .origin = { 2 }, .sender = { 2 } }, tcp(caller, service, { .syn = true })));
    fixture.fabric.send(fixture.endpoint(), tcp(caller, service, { .syn = true }));
    CHECK_FALSE(fixture.backendServer.receive().empty());
    CHECK(fixture.stop().size() == 1);
    const auto& counters = fixture.counters();
    CHECK(counters.malformed[static_cast<std::size_t>(Packet::PacketError::BadTransportChecksum)].value() == 1);
    CHECK(counters.malformed[static_cast<std::size_t>(Packet::PacketError::Truncated)].value() == 1);
    CHECK(counters.tooLarge.value() == 1);
    CHECK(counters.invalidHandOvers[static_cast<std::size_t>(Packet::HandOverError::BadHash)].value() == 1);
    CHECK(counters.invalidHandOvers[static_cast<std::size_t>(Packet::HandOverError::BadField)].value() == 1);
}
