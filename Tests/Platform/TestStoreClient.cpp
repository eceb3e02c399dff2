#include <LibPeer/Sockets.h>
#include <array>
#include <catch2/catch.hpp>
#include <platform/StoreClient.h>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

/// A listening socket of the loopback interface that waits for connections.
int listenBlocking()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(listener >= 0);
    REQUIRE(::listen(listener, 1) == 0);
    return listener;
}

/// Answers the first request on the listener with these bytes.
void answerOnce(int listener, std::string_view response)
{
    const int connection = ::accept(listener, nullptr, nullptr);
    std::array<char, 4096> request {};
    [[maybe_unused]] const auto received = ::recv(connection, request.data(), request.size(), 0);
    [[maybe_unused]] const auto sent = ::send(connection, response.data(), response.size(), MSG_NOSIGNAL);
    ::close(connection);
}

}

TEST_CASE("a watch whose changes are too many for one response leads to reading all records in pages")
{
    const int listener = listenBlocking();
    std::thread store([&] { answerOnce(listener, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n{"); });
    const Base::Ipv4Endpoint endpoint { .address = { 0x7F000001 }, .port = Peer::localEndpoint(listener).port };
    Platform::StoreClient client({ .store = endpoint, .timeout = Base::milliseconds(5000) });
    const auto response = client.watch("", 10, Base::milliseconds(100));
    store.join();
    ::close(listener);
    CHECK(response.outcome == Platform::StoreOutcome::HistoryGone);
    CHECK(response.detail.find("longer than") != std::string::npos);
}
