#include <LibPeer/NodeStatus.h>
#include <LibPeer/PeerTransport.h>
#include <LibPeer/QueryClient.h>
#include <LibPeer/Sockets.h>
#include <catch2/catch.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

const std::string firstKey = "the first key, long enough";
const std::string secondKey = "the second key, long enough";
constexpr Base::Ipv4Endpoint anyLoopbackPort { { 0x7F000001 }, 0 };

/// A transport on a loopback port chosen by the kernel, and the messages it received. Its clock is set by the test.
class Node {
public:
    Node(uint64_t id, std::vector<std::string> keys, uint64_t incarnation = 1)
    {
        auto transport = Base::capture([&] {
            return Peer::PeerTransport::create({ .self = { id },
                .incarnation = incarnation,
                .listen = anyLoopbackPort,
                .keys = std::move(keys),
                .bounds = { .maximumFrameBytes = 4096, .maximumQueuedBytes = 8192 },
                .onMessage = [this](Peer::Envelope&& envelope) { received.push_back(std::move(envelope)); },
                .onRequest
                = [](Peer::Channel,
                      std::span<const std::byte> payload) { return std::vector(payload.begin(), payload.end()); } });
        });
        REQUIRE(transport.isOk());
        transport_ = std::move(*transport.value);
    }

    Base::EntryVmId address() const { return Base::EntryVmId::fromEndpoint(transport_->endpoint()); }
    Peer::PeerTransport& transport() { return *transport_; }
    void poll(Base::milliseconds atMost = Base::milliseconds(0)) { transport_->poll(now, atMost); }

    std::vector<Peer::Envelope> received;
    Base::TimePoint now { Base::seconds(1) };

private:
    std::unique_ptr<Peer::PeerTransport> transport_;
};

/// Polls the nodes until the condition holds. Returns false after 20,000 rounds, so that a fault can't hang the test.
template <typename Condition>
bool pollUntil(std::initializer_list<Node*> nodes, Condition condition)
{
    for (int round = 0; round < 20'000; ++round) {
        for (auto* node : nodes)
            node->poll(Base::milliseconds(round < 100 ? 0 : 1));
        if (condition())
            return true;
    }
    return false;
}

std::vector<std::byte> payloadOf(std::size_t size) { return std::vector<std::byte>(size, std::byte { 7 }); }

/// A TCP connection that sends raw bytes.
class RawConnection {
public:
    explicit RawConnection(const Base::Ipv4Endpoint& endpoint)
        : socket_(*Base::capture([&] { return Peer::startConnecting(endpoint); }).value)
    {
        pollfd entry { .fd = socket_, .events = POLLOUT, .revents = 0 };
        ::poll(&entry, 1, -1);
    }
    ~RawConnection() { ::close(socket_); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;
    void send(const std::vector<std::byte>& bytes) { REQUIRE(::send(socket_, bytes.data(), bytes.size(), 0) > 0); }

private:
    int socket_;
};

Peer::Authenticator authenticatorOf(std::vector<std::string> keys)
{
    return *Base::capture([&] { return Peer::Authenticator::create(std::move(keys)); }).value;
}

}

TEST_CASE("Messages arrive in order and carry the id of their sender")
{
    Node first(11, { firstKey });
    Node second(22, { firstKey });
    for (std::size_t size = 1; size <= 20; ++size)
        REQUIRE(first.transport().send(first.now, second.address(), Peer::Channel::Control, payloadOf(size)));
    REQUIRE(pollUntil({ &first, &second }, [&] { return second.received.size() == 20; }));
    for (std::size_t index = 0; index < 20; ++index) {
        CHECK(second.received[index].payload == payloadOf(index + 1));
        CHECK(second.received[index].sender.value == 11);
    }
    CHECK(second.transport().statistics().bytesReceived == first.transport().statistics().bytesSent);
}

TEST_CASE("Both keys are accepted during rotation; messages signed with an unknown key are counted and ignored")
{
    Node rotated(11, { secondKey, firstKey });
    Node notYetRotated(22, { firstKey, secondKey });
    Node unknownSender(33, { "a key unknown to other nodes" });
    REQUIRE(rotated.transport().send(rotated.now, notYetRotated.address(), Peer::Channel::Flow, payloadOf(3)));
    REQUIRE(
        unknownSender.transport().send(unknownSender.now, notYetRotated.address(), Peer::Channel::Flow, payloadOf(3)));
    REQUIRE(pollUntil({ &rotated, &notYetRotated, &unknownSender }, [&] {
        return notYetRotated.received.size() == 1 && notYetRotated.transport().statistics().unauthenticatedFrames == 1;
    }));
    CHECK(notYetRotated.received[0].sender.value == 11);
}

TEST_CASE("Replayed messages are counted and ignored")
{
    Node node(22, { firstKey });
    const auto frame = Peer::encodeFrame(
        { .sender = { 11 }, .incarnation = 5, .sequence = 9, .payload = payloadOf(2) }, authenticatorOf({ firstKey }));
    const auto older = Peer::encodeFrame(
        { .sender = { 11 }, .incarnation = 4, .sequence = 99, .payload = payloadOf(2) }, authenticatorOf({ firstKey }));
    RawConnection connection(node.transport().endpoint());
    connection.send(frame);
    connection.send(frame);
    connection.send(older);
    REQUIRE(pollUntil({ &node }, [&] { return node.transport().statistics().replays == 2; }));
    CHECK(node.received.size() == 1);
}

TEST_CASE("Invalid framing closes the connection and is counted")
{
    Node node(22, { firstKey });
    RawConnection tooLarge(node.transport().endpoint());
    tooLarge.send({ std::byte { 0xFF }, std::byte { 0 }, std::byte { 0 }, std::byte { 0 } });
    RawConnection tooShort(node.transport().endpoint());
    tooShort.send({ std::byte { 0 }, std::byte { 0 }, std::byte { 0 }, std::byte { 3 } });
    REQUIRE(pollUntil({ &node }, [&] {
        const auto& statistics = node.transport().statistics();
        return statistics.tooLarge == 1 && statistics.malformed == 1;
    }));
    CHECK(node.received.empty());
}

TEST_CASE("Sending to a peer with a full queue fails and is counted")
{
    Node node(11, { firstKey });
    const auto listener = *Base::capture([] { return Peer::listenTcp(anyLoopbackPort); }).value;
    const auto unresponsivePeer = Base::EntryVmId::fromEndpoint(Peer::localEndpoint(listener));
    int accepted = 0;
    while (accepted < 20 && node.transport().send(node.now, unresponsivePeer, Peer::Channel::Control, payloadOf(1000)))
        ++accepted;
    CHECK(accepted == 7);
    CHECK(node.transport().statistics().queueFull == 1);
    ::close(listener);
}

TEST_CASE("Reconnecting waits for the back-off period after a failed connection attempt")
{
    Node node(11, { firstKey });
    const auto listener = *Base::capture([] { return Peer::listenTcp(anyLoopbackPort); }).value;
    const auto unreachablePeer = Base::EntryVmId::fromEndpoint(Peer::localEndpoint(listener));
    ::close(listener);
    node.transport().send(node.now, unreachablePeer, Peer::Channel::Control, payloadOf(1));
    REQUIRE(pollUntil({ &node }, [&] { return node.transport().statistics().connectFailures == 1; }));
    CHECK_FALSE(node.transport().send(node.now, unreachablePeer, Peer::Channel::Control, payloadOf(1)));
    node.now += Base::seconds(5);
    CHECK(node.transport().send(node.now, unreachablePeer, Peer::Channel::Control, payloadOf(1)));
}

TEST_CASE("Requests get their response on the same connection")
{
    Node node(22, { firstKey });
    const auto status = Peer::encodeNodeStatus({ .self = { 22 },
        .failureDomain = "brum",
        .revision = { 4 },
        .evidence = "store",
        .missing = { { 33 } },
        .figures = { { "flows", 7 } } });
    Base::Outcome<std::vector<std::byte>> response;
    std::atomic<bool> done { false };
    const auto endpoint = node.transport().endpoint();
    std::thread requestThread([&] {
        auto client = Base::capture([&] {
            return Peer::QueryClient::create(
                { .endpoint = endpoint, .keys = { firstKey }, .timeout = Base::seconds(30) });
        });
        response = Base::capture([&] { return client.value->sendRequest(Peer::Channel::Query, status); });
        done = true;
    });
    CHECK(pollUntil({ &node }, [&] { return done.load(); }));
    requestThread.join();
    REQUIRE(response.isOk());
    const auto decoded = Base::capture([&] { return Peer::decodeNodeStatus(*response.value); });
    REQUIRE(decoded.isOk());
    CHECK(decoded.value->failureDomain == "brum");
    CHECK(decoded.value->missing.size() == 1);
    CHECK(decoded.value->figures.at("flows") == 7);
}
