#include <LibFleet/LinkProxy.h>

#include <LibPeer/Sockets.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace StandIn {

LinkProxy::LinkProxy(EventLoop& loop, const Base::Ipv4Endpoint& control, const Base::Ipv4Endpoint& reports)
    : loop_(loop)
    , controlTarget_(control)
    , reportTarget_(reports)
    , listener_(Peer::listenTcp({ .address = control.address, .port = 0 }).value())
    , reportSocket_(Peer::bindUdp({ .address = reports.address, .port = 0 }, false).value())
{
    loop_.watch(listener_, [this] { accept(); });
    loop_.watch(reportSocket_, [this] { forwardDatagrams(); });
}

LinkProxy::~LinkProxy()
{
    *alive_ = false;
    resetConnections();
    loop_.unwatch(listener_);
    loop_.unwatch(reportSocket_);
    ::close(listener_);
    ::close(reportSocket_);
}

Base::Ipv4Endpoint LinkProxy::control() const { return Peer::localEndpoint(listener_); }
Base::Ipv4Endpoint LinkProxy::reports() const { return Peer::localEndpoint(reportSocket_); }

void LinkProxy::resetConnections()
{
    while (!connections_.empty())
        close(connections_.begin()->second, true);
}

void LinkProxy::accept()
{
    const int peerSocket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (peerSocket < 0)
        return;
    const auto entryVmSocket = Base::capture([&] { return Peer::startConnecting(controlTarget_); });
    if (!entryVmSocket.isOk()) {
        ::close(peerSocket);
        return;
    }
    const auto connection
        = std::make_shared<Connection>(Connection { .peerSocket = peerSocket, .entryVmSocket = *entryVmSocket.value });
    connections_[peerSocket] = connection;
    loop_.watch(peerSocket, [this, connection] { forwardBytes(connection, true); });
    loop_.watch(connection->entryVmSocket, [this, connection] { forwardBytes(connection, false); });
}

void LinkProxy::forwardBytes(const std::shared_ptr<Connection>& connection, bool isInbound)
{
    const int from = isInbound ? connection->peerSocket : connection->entryVmSocket;
    const int to = isInbound ? connection->entryVmSocket : connection->peerSocket;
    std::array<std::byte, 16384> buffer {};
    const auto count = ::recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count <= 0) {
        if (count == 0 || errno != EAGAIN)
            close(connection, false);
        return;
    }
    // Bytes dropped here are not delivered later, so the connection stalls as it would on a failed link.
    if (isInbound ? fault_.dropsInbound : fault_.dropsOutbound)
        return;
    std::vector<std::byte> bytes(buffer.begin(), buffer.begin() + count);
    const auto forward = [connection, to, bytes = std::move(bytes), alive = alive_] {
        if (!*alive || connection->peerSocket < 0)
            return;
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto written = ::send(to, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (written < 0 && errno != EAGAIN && errno != ENOTCONN)
                return;
            sent += written > 0 ? static_cast<std::size_t>(written) : 0;
        }
    };
    if (fault_.delay > Base::milliseconds(0))
        loop_.after(fault_.delay, forward);
    else
        forward();
}

void LinkProxy::close(const std::shared_ptr<Connection>& connection, bool isReset)
{
    if (connection->peerSocket < 0)
        return;
    connections_.erase(connection->peerSocket);
    for (const int socket : { connection->peerSocket, connection->entryVmSocket }) {
        const linger reset { .l_onoff = 1, .l_linger = 0 };
        if (isReset)
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        loop_.unwatch(socket);
        ::close(socket);
    }
    connection->peerSocket = -1;
    connection->entryVmSocket = -1;
}

void LinkProxy::forwardDatagrams()
{
    std::array<std::byte, 65536> buffer {};
    for (;;) {
        const auto count = ::recv(reportSocket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0)
            return;
        if (fault_.dropsInbound)
            continue;
        const std::vector<std::byte> bytes(buffer.begin(), buffer.begin() + count);
        const auto forward = [this, bytes, alive = alive_] {
            if (!*alive)
                return;
            sockaddr_in to {};
            to.sin_family = AF_INET;
            to.sin_addr.s_addr = htonl(reportTarget_.address.value);
            to.sin_port = htons(reportTarget_.port);
            ::sendto(
                reportSocket_, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&to), sizeof(to));
        };
        if (fault_.delay > Base::milliseconds(0))
            loop_.after(fault_.delay, forward);
        else
            forward();
    }
}

}
