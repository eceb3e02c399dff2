#include "UdpSocket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace StandIn {

static constexpr int socketBufferBytes = 4 * 1024 * 1024;
static constexpr std::size_t maximumDatagramBytes = 4096;

static sockaddr_in toSocketAddress(const Base::Ipv4Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address.value);
    address.sin_port = htons(endpoint.port);
    return address;
}

static Base::Ipv4Endpoint fromSocketAddress(const sockaddr_in& address)
{
    return { .address = { ntohl(address.sin_addr.s_addr) }, .port = ntohs(address.sin_port) };
}

Base::ErrorOr<UdpSocket> UdpSocket::create(uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return Base::makeError(Base::ErrorCode::System, std::string("socket: ") + std::strerror(errno));
    UdpSocket socket(descriptor, {});
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    auto address = toSocketAddress({ .address = { INADDR_LOOPBACK }, .port = port });
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
        return Base::makeError(
            Base::ErrorCode::System, "bind port " + std::to_string(port) + ": " + std::strerror(errno));
    socklen_t length = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    socket.endpoint_ = fromSocketAddress(address);
    return socket;
}

UdpSocket::UdpSocket(UdpSocket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , endpoint_(other.endpoint_)
{
}

UdpSocket& UdpSocket::operator=(UdpSocket&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(endpoint_, other.endpoint_);
    return *this;
}

UdpSocket::~UdpSocket()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

void UdpSocket::send(const Base::Ipv4Endpoint& to, std::span<const uint8_t> bytes) const
{
    const auto address = toSocketAddress(to);
    ::sendto(descriptor_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

std::optional<Datagram> UdpSocket::receive() const
{
    std::array<uint8_t, maximumDatagramBytes> buffer;
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    const auto received
        = ::recvfrom(descriptor_, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&address), &length);
    if (received < 0)
        return std::nullopt;
    return Datagram { .from = fromSocketAddress(address), .bytes = { buffer.begin(), buffer.begin() + received } };
}

}
