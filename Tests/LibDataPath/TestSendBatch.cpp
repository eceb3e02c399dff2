#include <LibBase/Random.h>
#include <LibDatagram/SendBatch.h>
#include <LibPeer/Sockets.h>
#include <catch2/catch.hpp>
#include <unistd.h>
#include <vector>

namespace {

constexpr Base::Ipv4Endpoint anyLoopbackPort { { 0x7F000001 }, 0 };

int bindSocket()
{
    return *Base::capture([] { return Peer::bindUdp(anyLoopbackPort, false); }).value;
}

std::vector<std::byte> receive(int socket)
{
    std::vector<std::byte> bytes(2048);
    const auto length = ::recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    bytes.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
    return bytes;
}

/// Sends random datagrams of three sizes to three sockets and checks that each socket receives its own in order.
void checkDelivery(bool segmentation, uint64_t seed)
{
    Base::Random random(seed);
    const int sender = bindSocket();
    std::vector<int> receivers { bindSocket(), bindSocket(), bindSocket() };
    std::vector<std::vector<std::vector<std::byte>>> expected(receivers.size());
    std::vector<std::vector<std::byte>> datagrams;
    Datagram::SendBatch batch;
    batch.setSegmentation(segmentation);
    for (std::size_t index = 0; index < Datagram::SendBatch::capacity; ++index) {
        const std::size_t sizes[] = { 40, 40, 40, 128, 1400 };
        datagrams.emplace_back(sizes[random.below(5)], static_cast<std::byte>(index));
    }
    for (const auto& datagram : datagrams) {
        const auto receiver = random.below(receivers.size());
        expected[receiver].push_back(datagram);
        batch.add(Peer::localEndpoint(receivers[receiver]), datagram);
    }
    const auto result = batch.transmit(sender);
    CHECK(result.sent == datagrams.size());
    CHECK(result.failed == 0);
    for (std::size_t receiver = 0; receiver < receivers.size(); ++receiver) {
        for (const auto& datagram : expected[receiver])
            REQUIRE(receive(receivers[receiver]) == datagram);
        CHECK(receive(receivers[receiver]).empty());
        ::close(receivers[receiver]);
    }
    ::close(sender);
}

}

TEST_CASE("Datagrams arrive unchanged and in order, with and without segmentation")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        checkDelivery(true, seed);
        checkDelivery(false, seed);
    }
}

TEST_CASE("Batches can be reused after transmission")
{
    const int sender = bindSocket();
    const int receiver = bindSocket();
    const std::vector<std::byte> datagram(100, std::byte { 3 });
    Datagram::SendBatch batch;
    for (int round = 0; round < 3; ++round) {
        batch.add(Peer::localEndpoint(receiver), datagram);
        batch.add(Peer::localEndpoint(receiver), datagram);
        CHECK(batch.transmit(sender).sent == 2);
        CHECK(receive(receiver) == datagram);
        CHECK(receive(receiver) == datagram);
    }
    CHECK(batch.transmit(sender).sent == 0);
    ::close(sender);
    ::close(receiver);
}

TEST_CASE("Datagrams that the kernel rejects are counted and do not prevent sending the others")
{
    const int sender = bindSocket();
    const int receiver = bindSocket();
    const std::vector<std::byte> datagram(100, std::byte { 3 });
    const Base::Ipv4Endpoint broadcast { { 0xFFFFFFFF }, 9 };
    Datagram::SendBatch batch;
    batch.add(broadcast, datagram);
    batch.add(Peer::localEndpoint(receiver), datagram);
    const auto result = batch.transmit(sender);
    CHECK(result.failed == 1);
    CHECK(result.sent == 1);
    CHECK(receive(receiver) == datagram);
    ::close(sender);
    ::close(receiver);
}
