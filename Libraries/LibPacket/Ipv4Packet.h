#pragma once

/// Validates and parses IPv4 packets that carry TCP or UDP. Does not allocate; errors are plain enumerators, since each
/// malformed packet of a flood is counted.

#include <LibPacket/PacketSummary.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Packet {

/// Why a packet is rejected. Each error has a counter.
enum class PacketError : uint8_t {
    Truncated,
    NotIpv4,
    BadHeaderLength,
    BadTotalLength,
    Fragment,
    BadHeaderChecksum,
    ZeroTimeToLive,
    UnknownProtocol,
    TruncatedTransport,
    BadTransportLength,
    BadTransportChecksum,
    ZeroPort,
};

/// Number of enumerators of PacketError.
constexpr std::size_t packetErrorCount = 12;

/// The stable name of an error, as it appears in metrics.
std::string_view toString(PacketError);

/// Minimum header sizes in bytes.
constexpr std::size_t minimumIpv4HeaderBytes = 20;
constexpr std::size_t minimumTcpHeaderBytes = 20;
constexpr std::size_t udpHeaderBytes = 8;

/// Parsed fields of a valid packet. Offsets and lengths are in bytes from the start of the IPv4 header.
struct Ipv4Packet {
    Base::Ipv4Endpoint source;
    Base::Ipv4Endpoint destination;
    IpProtocol protocol { IpProtocol::Tcp };
    TcpFlags flags;
    uint32_t sequence { 0 };
    uint32_t acknowledgement { 0 };
    uint16_t transportOffset { 0 };
    uint16_t payloadOffset { 0 };
    uint16_t payloadLength { 0 };
    uint16_t totalLength { 0 };
};

/// Checks that can be turned off because of their cost.
struct ParseOptions {
    /// Verify the TCP or UDP checksum. A UDP checksum of zero means that there is none, and passes.
    bool verifyTransportChecksum { true };
};

/// Parses a packet; bytes beyond its total length are ignored. Returns the error, or nothing if the packet was filled
/// in.
std::optional<PacketError> parseIpv4Packet(std::span<const std::byte>, const ParseOptions&, Ipv4Packet&);

/// Extracts the fields that flow decisions need; the flow key is in the direction from caller to service.
PacketSummary summarize(const Ipv4Packet&, Direction);

}
