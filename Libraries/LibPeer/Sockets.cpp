#include <LibPeer/Sockets.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Peer {

namespace {

    sockaddr_in toSocketAddress(const Base::Ipv4Endpoint& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(endpoint.address.value);
        address.sin_port = htons(endpoint.port);
        return address;
    }

    Base::ErrorOr<int> closeWithError(int socket, const Base::Ipv4Endpoint& endpoint)
    {
        const std::string reason = std::strerror(errno);
        if (socket >= 0)
            ::close(socket);
        return Base::makeError(Base::ErrorCode::Unavailable, endpoint.toString() + ": " + reason);
    }

    void enableOption(int socket, int level, int option)
    {
        const int one = 1;
        ::setsockopt(socket, level, option, &one, sizeof(one));
    }

    bool bindTo(int socket, const Base::Ipv4Endpoint& endpoint)
    {
        const auto address = toSocketAddress(endpoint);
        return ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    }

}

Base::ErrorOr<int> listenTcp(const Base::Ipv4Endpoint& endpoint)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return closeWithError(socket, endpoint);
    enableOption(socket, SOL_SOCKET, SO_REUSEADDR);
    if (!bindTo(socket, endpoint) || ::listen(socket, SOMAXCONN) != 0)
        return closeWithError(socket, endpoint);
    return socket;
}

Base::ErrorOr<int> startConnecting(const Base::Ipv4Endpoint& endpoint)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return closeWithError(socket, endpoint);
    enableOption(socket, IPPROTO_TCP, TCP_NODELAY);
    const auto address = toSocketAddress(endpoint);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 && errno != EINPROGRESS)
        return closeWithError(socket, endpoint);
    return socket;
}

Base::ErrorOr<int> bindUdp(const Base::Ipv4Endpoint& endpoint, bool sharePort)
{
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return closeWithError(socket, endpoint);
    if (sharePort)
        enableOption(socket, SOL_SOCKET, SO_REUSEPORT);
    if (!bindTo(socket, endpoint))
        return closeWithError(socket, endpoint);
    return socket;
}

Base::Ipv4Endpoint localEndpoint(int socket)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    return { .address = { ntohl(address.sin_addr.s_addr) }, .port = ntohs(address.sin_port) };
}

int pendingSocketError(int socket)
{
    int error = 0;
    socklen_t length = sizeof(error);
    if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
        return errno;
    return error;
}

}
