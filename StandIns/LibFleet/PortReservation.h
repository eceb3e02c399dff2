#pragma once

#include <LibBase/Ipv4Endpoint.h>

namespace StandIn {

/// Holds a port of an address for TCP and UDP, so that no other choice of a free port returns it.
class PortReservation {
public:
    /// Reserves a port chosen by the kernel.
    explicit PortReservation(Base::Ipv4Address);
    ~PortReservation();
    PortReservation(PortReservation&&) noexcept;
    PortReservation(const PortReservation&) = delete;
    PortReservation& operator=(const PortReservation&) = delete;

    const Base::Ipv4Endpoint& endpoint() const { return endpoint_; }

private:
    int tcpSocket_ { -1 };
    int udpSocket_ { -1 };
    Base::Ipv4Endpoint endpoint_;
};

}
