#include <LibFleet/PortReservation.h>

#include <LibPeer/Sockets.h>
#include <unistd.h>
#include <utility>

namespace StandIn {

PortReservation::PortReservation(Base::Ipv4Address address)
{
    while (udpSocket_ < 0) {
        const int tcpSocket = Peer::listenTcp({ .address = address, .port = 0 }).value();
        endpoint_ = Peer::localEndpoint(tcpSocket);
        const auto udpSocket = Base::capture([&] { return Peer::bindUdp(endpoint_, false); });
        if (!udpSocket.isOk()) {
            ::close(tcpSocket);
            continue;
        }
        tcpSocket_ = tcpSocket;
        udpSocket_ = *udpSocket.value;
    }
}

PortReservation::PortReservation(PortReservation&& other) noexcept
    : tcpSocket_(std::exchange(other.tcpSocket_, -1))
    , udpSocket_(std::exchange(other.udpSocket_, -1))
    , endpoint_(other.endpoint_)
{
}

PortReservation::~PortReservation()
{
    if (tcpSocket_ >= 0)
        ::close(tcpSocket_);
    if (udpSocket_ >= 0)
        ::close(udpSocket_);
}

}
