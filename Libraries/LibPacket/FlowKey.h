#pragma once

#include <LibBase/Hash.h>
#include <LibBase/Ipv4Endpoint.h>
#include <compare>
#include <cstdint>

namespace Packet {

/// IPv4 protocol numbers of load-balanced packets.
enum class IpProtocol : uint8_t {
    Tcp = 6,
    Udp = 17,
};

/// The five-tuple of a flow in the direction from caller to service: the caller is the source, the service address and
/// port are the destination.
struct FlowKey {
    Base::Ipv4Endpoint caller;
    Base::Ipv4Endpoint service;
    IpProtocol protocol { IpProtocol::Tcp };

    auto operator<=>(const FlowKey&) const = default;

    /// Identical on all nodes.
    uint64_t hash() const
    {
        return Base::mix(caller.packed(), (service.packed() << 8) | static_cast<uint8_t>(protocol));
    }
};

}

template <>
struct std::hash<Packet::FlowKey> {
    std::size_t operator()(const Packet::FlowKey& key) const noexcept { return key.hash(); }
};
