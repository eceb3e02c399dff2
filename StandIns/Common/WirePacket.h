#pragma once

/// Serializes and parses IPv4 packets with TCP, UDP or ICMP. Deliberately separate from LibPacket, so that the
/// stand-ins verify the product's packets with an independent implementation.

#include <LibBase/Ipv4Endpoint.h>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace StandIn {

using Base::Ipv4Endpoint;

/// IPv4 protocol number.
enum class Transport : uint8_t {
    Icmp = 1,
    Tcp = 6,
    Udp = 17,
};

/// TCP flag bits.
enum TcpFlag : uint8_t {
    TcpFin = 0x01,
    TcpSyn = 0x02,
    TcpReset = 0x04,
    TcpPush = 0x08,
    TcpAck = 0x10,
};

/// A parsed packet.
struct WirePacket {
    Ipv4Endpoint source;
    Ipv4Endpoint destination;
    Transport transport { Transport::Tcp };
    uint8_t flags { 0 };
    uint32_t sequence { 0 };
    uint32_t acknowledgement { 0 };
    /// ICMP type and code. For ICMP, the endpoints are those of the original packet quoted in the message.
    uint8_t icmpType { 0 };
    uint8_t icmpCode { 0 };
    std::string payload;
};

/// Returns the encoded packet, with checksums.
std::vector<uint8_t> serialize(const WirePacket&);

/// Parses a packet; returns nullopt if a length or checksum is wrong or the protocol is unknown.
std::optional<WirePacket> parse(std::span<const uint8_t>);

}
