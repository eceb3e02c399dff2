#include <LibHttp/HttpClient.h>

#include <LibBase/Verify.h>
#include <LibPeer/Sockets.h>
#include <array>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <poll.h>
#include <sstream>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Http {

namespace {

    namespace beast = boost::beast::http;
    using Base::ErrorCode;

    constexpr std::size_t receiveBufferBytes = 16384;
    constexpr unsigned httpVersion = 11;

    beast::verb toVerb(Method method)
    {
        switch (method) {
        case Method::Get:
            return beast::verb::get;
        case Method::Post:
            return beast::verb::post;
        case Method::Delete:
            return beast::verb::delete_;
        }
        return beast::verb::get;
    }

    std::string serialize(const Request& request, const Base::Ipv4Endpoint& server)
    {
        beast::request<beast::string_body> message(toVerb(request.method), request.target, httpVersion);
        message.set(beast::field::host, server.toString());
        message.keep_alive(true);
        if (!request.body.empty()) {
            message.set(beast::field::content_type, "application/json");
            message.body() = request.body;
        }
        message.prepare_payload();
        std::ostringstream text;
        text << message;
        return text.str();
    }

}

HttpClient::HttpClient(Options options)
    : options_(options)
    , interruptEvent_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    VERIFY(interruptEvent_ >= 0);
}

HttpClient::~HttpClient()
{
    close();
    ::close(interruptEvent_);
}

void HttpClient::interrupt()
{
    const uint64_t one = 1;
    // The write cannot fail in practice: the eventfd's counter would have to overflow first.
    [[maybe_unused]] const auto written = ::write(interruptEvent_, &one, sizeof(one));
}

bool HttpClient::waitFor(short events, Base::TimePoint deadline) const
{
    for (;;) {
        const auto left = std::chrono::ceil<Base::milliseconds>(deadline - std::chrono::steady_clock::now());
        if (left <= Base::milliseconds(0))
            return false;
        std::array<pollfd, 2> entries { pollfd { .fd = socket_, .events = events, .revents = 0 },
            pollfd { .fd = interruptEvent_, .events = POLLIN, .revents = 0 } };
        const int ready = ::poll(entries.data(), entries.size(), static_cast<int>(left.count()));
        if (entries[1].revents != 0)
            return false;
        if (ready > 0)
            return true;
        if (ready < 0 && errno != EINTR)
            return false;
    }
}

void HttpClient::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

Base::ErrorOr<void> HttpClient::connect()
{
    TRY_ASSIGN(socket, Peer::startConnecting(options_.server));
    socket_ = socket;
    const bool isWritable = waitFor(POLLOUT, std::chrono::steady_clock::now() + options_.connectTimeout);
    if (!isWritable || Peer::pendingSocketError(socket_) != 0) {
        close();
        return Base::makeError(ErrorCode::Unavailable, options_.server.toString() + ": cannot connect");
    }
    return {};
}

Base::ErrorOr<void> HttpClient::sendAll(std::string_view bytes, Base::TimePoint deadline)
{
    while (!bytes.empty()) {
        const auto sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR)
            return Base::makeError(ErrorCode::Unavailable, "connection closed while sending");
        if (!waitFor(POLLOUT, deadline))
            return Base::makeError(ErrorCode::Unavailable, "request not sent within the timeout");
    }
    return {};
}

Base::ErrorOr<Response> HttpClient::receive(Base::TimePoint deadline)
{
    beast::response_parser<beast::string_body> parser;
    parser.body_limit(options_.maximumBodyBytes);
    parser.eager(true);
    std::array<char, receiveBufferBytes> buffer {};
    std::string pending;
    while (!parser.is_done()) {
        if (!waitFor(POLLIN, deadline))
            return Base::makeError(ErrorCode::TimedOut, "no response within the timeout");
        const auto received = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (received < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        boost::system::error_code error;
        if (received <= 0) {
            // put_eof() takes the end of a connection without any byte for an empty response.
            if (parser.got_some())
                parser.put_eof(error);
            if (error || !parser.is_done())
                return Base::makeError(ErrorCode::TimedOut, "connection closed before the end of the response");
            break;
        }
        pending.append(buffer.data(), static_cast<std::size_t>(received));
        const auto used = parser.put(boost::asio::buffer(pending), error);
        pending.erase(0, used);
        if (error == beast::error::body_limit) {
            return Base::makeError(ErrorCode::TooLarge,
                "response body longer than " + std::to_string(options_.maximumBodyBytes) + " bytes");
        }
        if (error && error != beast::error::need_more)
            return Base::makeError(ErrorCode::Malformed, "invalid response: " + error.message());
    }
    const bool keepAlive = parser.get().keep_alive();
    Response response { .status = parser.get().result_int(), .body = std::move(parser.get().body()) };
    for (const auto& field : parser.get().base())
        response.headers.push_back({ .name = std::string(field.name_string()), .value = std::string(field.value()) });
    if (!keepAlive)
        close();
    return response;
}

Base::ErrorOr<Response> HttpClient::exchange(const std::string& bytes, Base::TimePoint deadline)
{
    if (socket_ < 0)
        TRY(connect());
    TRY(sendAll(bytes, deadline));
    return receive(deadline);
}

Base::ErrorOr<Response> HttpClient::call(const Request& request, Base::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    auto response = exchange(serialize(request, options_.server), deadline);
    if (!response)
        close();
    return response;
}

}
