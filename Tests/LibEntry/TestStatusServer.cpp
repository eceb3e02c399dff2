#include <LibHttp/HttpClient.h>
#include <LibHttp/StatusServer.h>
#include <LibPeer/Sockets.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

/// A free endpoint of the loopback interface.
Base::Ipv4Endpoint freeEndpoint()
{
    const int socket = Peer::listenTcp({ .address = { 0x7F000001 }, .port = 0 }).value();
    const auto endpoint = Peer::localEndpoint(socket);
    ::close(socket);
    return endpoint;
}

constexpr Base::milliseconds callTimeout { 5000 };

}

TEST_CASE("requests are served on each endpoint over persistent connections, also when other clients send invalid data")
{
    const auto first = freeEndpoint();
    const auto second = freeEndpoint();
    const std::string large(100'000, 'x');
    const auto server = Http::StatusServer::create({ .listen = { first, second }, .onGet = [&](std::string_view path) {
                                                        if (path == "/large")
                                                            return Http::Response { .status = 200, .body = large };
                                                        return Http::Response { .status = 503 };
                                                    } });
    REQUIRE(server);
    std::atomic<bool> stopping { false };
    std::thread thread([&] {
        while (!stopping.load())
            (*server)->poll(Base::milliseconds(20));
    });
    const int invalidClient = Peer::startConnecting(first).value();
    ::usleep(1000);
    [[maybe_unused]] const auto sent = ::send(invalidClient, "\x16\x03\x01 this is no HTTP\r\n\r\n", 24, MSG_NOSIGNAL);
    for (const auto& endpoint : { first, second }) {
        Http::HttpClient client({ .server = endpoint, .connectTimeout = callTimeout });
        for (int round = 0; round < 3; ++round) {
            const auto small = Base::capture([&] { return client.call({ .target = "/ready" }, callTimeout); });
            REQUIRE(small.isOk());
            CHECK(small.value->status == 503);
            CHECK(small.value->body.empty());
            const auto whole = Base::capture([&] { return client.call({ .target = "/large" }, callTimeout); });
            REQUIRE(whole.isOk());
            CHECK(whole.value->body == large);
        }
        const auto post = Base::capture(
            [&] { return client.call({ .method = Http::Method::Post, .target = "/ready", .body = {} }, callTimeout); });
        REQUIRE(post.isOk());
        CHECK(post.value->status == 405);
    }
    stopping.store(true);
    thread.join();
    ::close(invalidClient);
}

TEST_CASE("an interrupted call ends at once, and a call to a closed port fails")
{
    const int unresponsive = Peer::listenTcp({ .address = { 0x7F000001 }, .port = 0 }).value();
    Http::HttpClient client({ .server = Peer::localEndpoint(unresponsive), .connectTimeout = callTimeout });
    std::thread thread([&] { client.interrupt(); });
    const auto interrupted = Base::capture([&] { return client.call({ .target = "/" }, Base::seconds(600)); });
    thread.join();
    CHECK_FALSE(interrupted.isOk());
    ::close(unresponsive);
    Http::HttpClient unreachable({ .server = freeEndpoint(), .connectTimeout = callTimeout });
    const auto refused = Base::capture([&] { return unreachable.call({ .target = "/" }, callTimeout); });
    REQUIRE_FALSE(refused.isOk());
    CHECK(refused.error.code == Base::ErrorCode::Unavailable);
}

// Guards against a connection that ends without a response and counts as an empty success, such as a ready entry VM.
TEST_CASE("a connection that ends before the response, or within it, is no response")
{
    const std::string beginning = GENERATE(as<std::string> {}, "", "H", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfour");
    const bool resets = GENERATE(false, true);
    CAPTURE(beginning, resets);
    const int listener = Peer::listenTcp({ .address = { 0x7F000001 }, .port = 0 }).value();
    std::thread thread([&] {
        pollfd entry { .fd = listener, .events = POLLIN, .revents = 0 };
        ::poll(&entry, 1, static_cast<int>(callTimeout.count()));
        const int connection = ::accept(listener, nullptr, nullptr);
        std::array<char, 1024> request {};
        [[maybe_unused]] const auto received = ::recv(connection, request.data(), request.size(), 0);
        [[maybe_unused]] const auto sent = ::send(connection, beginning.data(), beginning.size(), MSG_NOSIGNAL);
        const linger reset { .l_onoff = resets ? 1 : 0, .l_linger = 0 };
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::close(connection);
    });
    Http::HttpClient client({ .server = Peer::localEndpoint(listener), .connectTimeout = callTimeout });
    const auto response = Base::capture([&] { return client.call({ .target = "/" }, callTimeout); });
    thread.join();
    ::close(listener);
    REQUIRE_FALSE(response.isOk());
    CHECK(response.error.code == Base::ErrorCode::TimedOut);
}
