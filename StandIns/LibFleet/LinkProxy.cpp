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
    , insideControl_(control)
    , insideReports_(reports)
    , listener_(Peer::listenTcp({ .address = control.address, .port = 0 }).value())
    , datagrams_(Peer::bindUdp({ .address = reports.address, .port = 0 }, false).value())
{
    loop_.watch(listener_, [this] { accept(); });
    loop_.watch(datagrams_, [this] { passDatagrams(); });
}

LinkProxy::~LinkProxy()
{
    *alive_ = false;
    resetConnections();
    loop_.unwatch(listener_);
    loop_.unwatch(datagrams_);
    ::close(listener_);
    ::close(datagrams_);
}

Base::Ipv4Endpoint LinkProxy::control() const { return Peer::localEndpoint(listener_); }
Base::Ipv4Endpoint LinkProxy::reports() const { return Peer::localEndpoint(datagrams_); }

void LinkProxy::resetConnections()
{
    while (!pairs_.empty())
        close(pairs_.begin()->second, true);
}

void LinkProxy::accept()
{
    const int outside = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (outside < 0)
        return;
    const auto inside = Base::capture([&] { return Peer::startConnecting(insideControl_); });
    if (!inside.isOk()) {
        ::close(outside);
        return;
    }
    const auto pair = std::make_shared<Pair>(Pair { .outside = outside, .inside = *inside.value });
    pairs_[outside] = pair;
    loop_.watch(outside, [this, pair] { passBytes(pair, true); });
    loop_.watch(pair->inside, [this, pair] { passBytes(pair, false); });
}

void LinkProxy::passBytes(const std::shared_ptr<Pair>& pair, bool isInward)
{
    const int from = isInward ? pair->outside : pair->inside;
    const int to = isInward ? pair->inside : pair->outside;
    std::array<std::byte, 16384> buffer {};
    const auto count = ::recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count <= 0) {
        if (count == 0 || errno != EAGAIN)
            close(pair, false);
        return;
    }
    // What a cut swallows is lost for this connection: it goes silent, as on a real link.
    if (isInward ? fault_.cutsThere : fault_.cutsBack)
        return;
    std::vector<std::byte> bytes(buffer.begin(), buffer.begin() + count);
    const auto forward = [pair, to, bytes = std::move(bytes), alive = alive_] {
        if (!*alive || pair->outside < 0)
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

void LinkProxy::close(const std::shared_ptr<Pair>& pair, bool isReset)
{
    if (pair->outside < 0)
        return;
    pairs_.erase(pair->outside);
    for (const int socket : { pair->outside, pair->inside }) {
        const linger reset { .l_onoff = 1, .l_linger = 0 };
        if (isReset)
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        loop_.unwatch(socket);
        ::close(socket);
    }
    pair->outside = -1;
    pair->inside = -1;
}

void LinkProxy::passDatagrams()
{
    std::array<std::byte, 65536> buffer {};
    for (;;) {
        const auto count = ::recv(datagrams_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0)
            return;
        if (fault_.cutsThere)
            continue;
        const std::vector<std::byte> bytes(buffer.begin(), buffer.begin() + count);
        const auto forward = [this, bytes, alive = alive_] {
            if (!*alive)
                return;
            sockaddr_in to {};
            to.sin_family = AF_INET;
            to.sin_addr.s_addr = htonl(insideReports_.address.value);
            to.sin_port = htons(insideReports_.port);
            ::sendto(
                datagrams_, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&to), sizeof(to));
        };
        if (fault_.delay > Base::milliseconds(0))
            loop_.after(fault_.delay, forward);
        else
            forward();
    }
}

}
