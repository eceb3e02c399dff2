#include <LibEntry/ProbeThread.h>
#include <LibPeer/Sockets.h>
#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr Steering::BackendServerNumber server { 7 };

Base::Ipv4Endpoint loopback(uint16_t port) { return { .address = { INADDR_LOOPBACK }, .port = port }; }

/// Probes the address.
Steering::ServerProbed probe(const Base::Ipv4Endpoint& address)
{
    std::mutex mutex;
    std::condition_variable condition;
    bool hasResult = false;
    Entry::ProbeThread thread([&] {
        const std::scoped_lock lock(mutex);
        hasResult = true;
        condition.notify_all();
    });
    thread.start();
    REQUIRE(thread.request({ .server = server, .address = address }));
    {
        std::unique_lock lock(mutex);
        condition.wait(lock, [&] { return hasResult; });
    }
    Steering::ServerProbed result;
    REQUIRE(thread.tryPopResult(result));
    CHECK(result.server == server);
    thread.stop();
    return result;
}

}

TEST_CASE("a host that accepts or refuses the connection is reachable")
{
    const int listener = Peer::listenTcp(loopback(0)).value();
    const auto address = Peer::localEndpoint(listener);
    const auto accepted = probe(address);
    CHECK(accepted.isReachable);
    CHECK(accepted.answer == Steering::ProbeAnswer::Accepted);
    ::close(listener);
    const auto refused = probe(address);
    CHECK(refused.isReachable);
    CHECK(refused.answer == Steering::ProbeAnswer::Refused);
}

TEST_CASE("a host that does not answer is unreachable")
{
    // The kernel does not answer further connections once the queue of a listening socket is full.
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in any {};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0);
    REQUIRE(::listen(listener, 0) == 0);
    const auto address = Peer::localEndpoint(listener);
    std::array<int, 4> sockets {};
    for (int& socket : sockets)
        socket = Peer::startConnecting(address).value();
    const auto result = probe(address);
    CHECK_FALSE(result.isReachable);
    CHECK(result.answer == Steering::ProbeAnswer::None);
    for (const int socket : sockets)
        ::close(socket);
    ::close(listener);
}

TEST_CASE("a connection that fails for a local reason shows nothing about the server")
{
    // Connecting to a broadcast address fails in the local kernel.
    const auto result = probe({ .address = { INADDR_BROADCAST }, .port = 80 });
    CHECK(result.isReachable);
    CHECK(result.answer == Steering::ProbeAnswer::None);
}
