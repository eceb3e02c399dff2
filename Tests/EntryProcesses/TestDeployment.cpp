// The deployment that the other tests here, and the soak, run entry VMs in.

#include <LibFleet/PortReservation.h>
#include <LibPeer/Sockets.h>
#include <catch2/catch.hpp>
#include <set>
#include <unistd.h>
#include <vector>

// Guards against entry VMs that cannot start, since two of their endpoints are the same.
TEST_CASE("a reserved port is not chosen again")
{
    constexpr std::size_t portCount = 200;
    const Base::Ipv4Address address { 0x7F000001 };
    std::vector<StandIn::PortReservation> reservations;
    std::set<uint16_t> ports;
    for (std::size_t index = 0; index < portCount; ++index) {
        reservations.emplace_back(address);
        ports.insert(reservations.back().endpoint().port);
    }
    CHECK(ports.size() == portCount);
    const auto endpoint = reservations.back().endpoint();
    CHECK_FALSE(Base::capture([&] { return Peer::listenTcp(endpoint); }).isOk());
    CHECK_FALSE(Base::capture([&] { return Peer::bindUdp(endpoint, false); }).isOk());
    reservations.pop_back();
    const auto released = Base::capture([&] { return Peer::bindUdp(endpoint, false); });
    REQUIRE(released.isOk());
    ::close(*released.value);
}
