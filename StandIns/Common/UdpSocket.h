#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace StandIn {

/// A datagram with its source.
struct Datagram {
    Base::Ipv4Endpoint from;
    std::vector<uint8_t> bytes;
};

/// A non-blocking UDP socket on loopback.
class UdpSocket {
public:
    /// Binds to a loopback port; port 0: chosen by the kernel. Returns ErrorCode::System if the socket cannot be
    /// created or bound.
    static Base::ErrorOr<UdpSocket> create(uint16_t port);

    UdpSocket(UdpSocket&&) noexcept;
    UdpSocket& operator=(UdpSocket&&) noexcept;
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;
    ~UdpSocket();

    int descriptor() const { return descriptor_; }
    Base::Ipv4Endpoint endpoint() const { return endpoint_; }
    /// Sends one datagram. It is dropped if the socket buffer is full, as a network would do.
    void send(const Base::Ipv4Endpoint& to, std::span<const uint8_t> bytes) const;
    /// Returns the next queued datagram, or nullopt if there is none.
    std::optional<Datagram> receive() const;

private:
    UdpSocket(int descriptor, Base::Ipv4Endpoint endpoint)
        : descriptor_(descriptor)
        , endpoint_(endpoint)
    {
    }

    int descriptor_ { -1 };
    Base::Ipv4Endpoint endpoint_;
};

}
