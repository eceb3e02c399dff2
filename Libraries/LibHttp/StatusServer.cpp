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

    /// Callers are few (the platform's routers); more connections than this are closed at once.
    constexpr std::size_t maximumConnections = 64;
    /// A question has no body and few headers.
    constexpr std::size_t maximumRequestBytes = 8192;

    std::string answerTo(const beast::request<beast::empty_body>& request, uint32_t status)
    {
        beast::response<beast::empty_body> answer(static_cast<beast::status>(status), request.version());
        answer.keep_alive(request.keep_alive());
        answer.content_length(0);
        std::ostringstream text;
        text << answer;
        return text.str();
    }

}

Base::ErrorOr<std::unique_ptr<StatusServer>> StatusServer::create(Options options)
{
    TRY_ASSIGN(listener, Peer::listenTcp(options.listen));
    return std::unique_ptr<StatusServer>(new StatusServer(std::move(options), listener));
}

StatusServer::StatusServer(Options options, int listener)
    : options_(std::move(options))
    , listener_(listener)
{
}

StatusServer::~StatusServer()
{
    for (const auto& [socket, received] : connections_)
        ::close(socket);
    ::close(listener_);
}

Base::Ipv4Endpoint StatusServer::endpoint() const { return Peer::localEndpoint(listener_); }

void StatusServer::accept()
{
    for (;;) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
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
        const uint32_t status = request.method() == beast::verb::get ? options_.onGet(path) : 405;
        const auto answer = answerTo(request, status);
        const auto sent = ::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (sent != static_cast<ssize_t>(answer.size()) || !request.keep_alive())
            return false;
    }
    return true;
}

void StatusServer::poll(Base::milliseconds atMost)
{
    std::vector<pollfd> entries { { .fd = listener_, .events = POLLIN, .revents = 0 } };
    for (const auto& [socket, received] : connections_)
        entries.push_back({ .fd = socket, .events = POLLIN, .revents = 0 });
    if (::poll(entries.data(), entries.size(), static_cast<int>(atMost.count())) <= 0)
        return;
    for (std::size_t index = 1; index < entries.size(); ++index) {
        const int socket = entries[index].fd;
        if (entries[index].revents == 0 || serve(socket, connections_[socket]))
            continue;
        connections_.erase(socket);
        ::close(socket);
    }
    if (entries[0].revents != 0)
        accept();
}

}
