#pragma once

/// Builds IPv4 packets with TCP, UDP or ICMP in a given buffer, checksums included. Used for refusals, stand-ins and
/// tests. Does not allocate.

#include <LibPacket/PacketSummary.h>
#include <cstddef>
#include <cstdint>
#include <span>

namespace Packet {

/// Header fields of a TCP segment to build.
struct TcpSegment {
    Base::Ipv4Endpoint source;
    Base::Ipv4Endpoint destination;
    TcpFlags flags;
    uint32_t sequence { 0 };
    uint32_t acknowledgement { 0 };
    uint16_t window { 0xFFFF };
};

/// Header fields of a UDP datagram to build.
struct UdpDatagram {
    Base::Ipv4Endpoint source;
    Base::Ipv4Endpoint destination;
};

/// Builds a TCP packet. Returns its total length in bytes, or 0 if it does not fit into the buffer or an IPv4 packet.
std::size_t buildTcp(std::span<std::byte> buffer, const TcpSegment&, std::span<const std::byte> payload);

/// Builds a UDP packet. Returns its total length in bytes, or 0 if it does not fit.
std::size_t buildUdp(std::span<std::byte> buffer, const UdpDatagram&, std::span<const std::byte> payload);

/// Builds an ICMP "destination unreachable" that quotes the start of a packet. Returns its total length in bytes, or 0
/// if it does not fit. code: as in RFC 792 and RFC 1812.
std::size_t buildIcmpUnreachable(std::span<std::byte> buffer, Base::Ipv4Address source, Base::Ipv4Address destination,
    uint8_t code, std::span<const std::byte> quoted);

}
