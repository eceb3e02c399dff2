#include "Sockets.h"

#include <LibBase/Verify.h>
#include <LibPeer/Sockets.h>
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Measure::PacketPath {

LoopbackSocket::LoopbackSocket(int bufferBytes, const Base::Ipv4Endpoint& endpoint, bool sharePort)
    : descriptor_(Base::capture([&] { return Peer::bindUdp(endpoint, sharePort); }).value.value_or(-1))
{
    VERIFY(descriptor_ >= 0);
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
    ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof(bufferBytes));
}

LoopbackSocket::LoopbackSocket(LoopbackSocket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

LoopbackSocket::~LoopbackSocket()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

Base::Ipv4Endpoint LoopbackSocket::endpoint() const { return Peer::localEndpoint(descriptor_); }

sockaddr_in toSocketAddress(const Base::Ipv4Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address.value);
    address.sin_port = htons(endpoint.port);
    return address;
}

void waitReadable(int descriptor, int milliseconds)
{
    pollfd entry { .fd = descriptor, .events = POLLIN, .revents = 0 };
    ::poll(&entry, 1, milliseconds);
}

}
