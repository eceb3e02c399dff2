#include <LibPeer/QueryClient.h>

#include <LibPeer/Sockets.h>
#include <array>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Peer {

using Base::ErrorCode;

namespace {

    constexpr std::size_t receiveBufferBytes = 16384;

    Base::ErrorOr<void> waitForEvents(int socket, short events, Base::TimePoint deadline)
    {
        const auto left = std::chrono::ceil<Base::milliseconds>(deadline - std::chrono::steady_clock::now());
        if (left <= Base::milliseconds(0))
            return Base::makeError(ErrorCode::TimedOut, "no response within the timeout");
        pollfd entry { .fd = socket, .events = events, .revents = 0 };
        if (::poll(&entry, 1, static_cast<int>(left.count())) <= 0)
            return Base::makeError(ErrorCode::TimedOut, "no response within the timeout");
        return {};
    }

}

Base::ErrorOr<QueryClient> QueryClient::create(Options options)
{
    TRY_ASSIGN(authenticator, Authenticator::create(options.keys));
    return QueryClient(std::move(options), std::move(authenticator));
}

QueryClient::QueryClient(Options options, Authenticator authenticator)
    : options_(std::move(options))
    , authenticator_(std::move(authenticator))
{
    std::random_device device;
    lastRequest_ = (static_cast<uint64_t>(device()) << 32) | device();
}

QueryClient::QueryClient(QueryClient&& other) noexcept
    : options_(std::move(other.options_))
    , authenticator_(std::move(other.authenticator_))
    , socket_(std::exchange(other.socket_, -1))
    , lastRequest_(other.lastRequest_)
{
}

QueryClient& QueryClient::operator=(QueryClient&& other) noexcept
{
    if (this == &other)
        return *this;
    close();
    options_ = std::move(other.options_);
    authenticator_ = std::move(other.authenticator_);
    socket_ = std::exchange(other.socket_, -1);
    lastRequest_ = other.lastRequest_;
    return *this;
}

QueryClient::~QueryClient() { close(); }

void QueryClient::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

Base::ErrorOr<void> QueryClient::connect()
{
    TRY_ASSIGN(socket, startConnecting(options_.endpoint));
    socket_ = socket;
    TRY(waitForEvents(socket_, POLLOUT, std::chrono::steady_clock::now() + options_.timeout));
    if (pendingSocketError(socket_) != 0)
        return Base::makeError(ErrorCode::Unavailable, options_.endpoint.toString() + ": connection failed");
    return {};
}

Base::ErrorOr<void> QueryClient::sendAll(std::span<const std::byte> bytes)
{
    const auto deadline = std::chrono::steady_clock::now() + options_.timeout;
    while (!bytes.empty()) {
        const auto sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            bytes = bytes.subspan(static_cast<std::size_t>(sent));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR)
            return Base::makeError(ErrorCode::Unavailable, "connection closed");
        TRY(waitForEvents(socket_, POLLOUT, deadline));
    }
    return {};
}

Base::ErrorOr<Envelope> QueryClient::receive(FrameReader& reader, Base::TimePoint deadline)
{
    std::array<std::byte, receiveBufferBytes> buffer {};
    for (;;) {
        TRY_ASSIGN(body, reader.next());
        if (body)
            return decodeFrame(*body, authenticator_);
        TRY(waitForEvents(socket_, POLLIN, deadline));
        const auto received = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (received > 0) {
            reader.append(std::span(buffer).first(static_cast<std::size_t>(received)));
            if (options_.restartTimeoutOnData)
                deadline = std::chrono::steady_clock::now() + options_.timeout;
        } else if (received == 0 || (errno != EAGAIN && errno != EINTR)) {
            return Base::makeError(ErrorCode::Unavailable, "connection closed");
        }
    }
}

Base::ErrorOr<std::vector<std::byte>> QueryClient::exchange(Channel channel, std::vector<std::byte> payload)
{
    if (socket_ < 0)
        TRY(connect());
    const auto requestSequence = ++lastRequest_;
    const Envelope envelope { .channel = channel, .sequence = requestSequence, .payload = std::move(payload) };
    TRY(sendAll(encodeFrame(envelope, authenticator_)));
    const auto deadline = std::chrono::steady_clock::now() + options_.timeout;
    FrameReader reader(options_.maximumFrameBytes);
    for (;;) {
        TRY_ASSIGN(response, receive(reader, deadline));
        if (response.replyTo == requestSequence && response.channel == channel)
            return std::move(response.payload);
    }
}

Base::ErrorOr<std::vector<std::byte>> QueryClient::sendRequest(Channel channel, std::vector<std::byte> payload)
{
    auto response = exchange(channel, std::move(payload));
    if (!response)
        close();
    return response;
}

}
