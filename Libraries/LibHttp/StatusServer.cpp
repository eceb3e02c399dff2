#include <LibHttp/StatusServer.h>

#include <LibPeer/Sockets.h>
#include <array>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace Http {

namespace {

    namespace beast = boost::beast::http;

    /// Only the platform's routers connect; further connections are closed immediately.
    constexpr std::size_t maximumConnections = 64;
    /// Requests have no body and few headers.
    constexpr std::size_t maximumRequestBytes = 8192;
    /// The socket's buffer holds some kilobytes; the connection of a client that reads nothing for this long is closed.
    constexpr Base::milliseconds sendTimeout { 100 };

    std::string serializeResponse(const beast::request<beast::empty_body>& request, const Response& response)
    {
        beast::response<beast::string_body> message(static_cast<beast::status>(response.status), request.version());
        message.keep_alive(request.keep_alive());
        if (!response.body.empty())
            message.set(beast::field::content_type, "text/plain; version=0.0.4");
        message.body() = response.body;
        message.prepare_payload();
        std::ostringstream text;
        text << message;
        return text.str();
    }

    /// Sends all bytes. Returns false on failure or if the client reads nothing within sendTimeout.
    bool sendAll(int socket, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(sent));
                continue;
            }
            pollfd entry { .fd = socket, .events = POLLOUT, .revents = 0 };
            if (errno != EAGAIN || ::poll(&entry, 1, static_cast<int>(sendTimeout.count())) <= 0)
                return false;
        }
        return true;
    }

}

Base::ErrorOr<std::unique_ptr<StatusServer>> StatusServer::create(Options options)
{
    std::unique_ptr<StatusServer> server(new StatusServer(std::move(options)));
    for (const auto& endpoint : server->options_.listen) {
        TRY_ASSIGN(listener, Peer::listenTcp(endpoint));
        server->listeners_.push_back(listener);
    }
    return server;
}

StatusServer::StatusServer(Options options)
    : options_(std::move(options))
{
}

StatusServer::~StatusServer()
{
    for (const auto& [socket, received] : connections_)
        ::close(socket);
    for (const int listener : listeners_)
        ::close(listener);
}

void StatusServer::accept(int listener)
{
    for (;;) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            return;
        if (connections_.size() >= maximumConnections) {
            ::close(socket);
            continue;
        }
        connections_[socket];
    }
}

bool StatusServer::serve(int socket, std::string& received)
{
    std::array<char, maximumRequestBytes> buffer {};
    const auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return count < 0 && (errno == EAGAIN || errno == EINTR);
    received.append(buffer.data(), static_cast<std::size_t>(count));
    while (!received.empty()) {
        beast::request_parser<beast::empty_body> parser;
        boost::system::error_code error;
        parser.eager(true);
        const auto used = parser.put(boost::asio::buffer(received), error);
        if (error == beast::error::need_more)
            return received.size() <= maximumRequestBytes;
        if (error || !parser.is_done())
            return false;
        received.erase(0, used);
        const auto& request = parser.get();
        const auto path = std::string_view(request.target().data(), request.target().size());
        const auto response = request.method() == beast::verb::get ? options_.onGet(path) : Response { .status = 405 };
        if (!sendAll(socket, serializeResponse(request, response)) || !request.keep_alive())
            return false;
    }
    return true;
}

void StatusServer::poll(Base::milliseconds atMost)
{
    std::vector<pollfd> entries;
    entries.reserve(listeners_.size() + connections_.size());
    for (const int listener : listeners_)
        entries.push_back({ .fd = listener, .events = POLLIN, .revents = 0 });
    for (const auto& [socket, received] : connections_)
        entries.push_back({ .fd = socket, .events = POLLIN, .revents = 0 });
    if (::poll(entries.data(), entries.size(), static_cast<int>(atMost.count())) <= 0)
        return;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const int socket = entries[index].fd;
        if (entries[index].revents == 0)
            continue;
        if (index < listeners_.size()) {
            accept(socket);
        } else if (!serve(socket, connections_[socket])) {
            connections_.erase(socket);
            ::close(socket);
        }
    }
}

}
