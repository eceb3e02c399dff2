#include <LibPacket/Ipv4Packet.h>

#include <LibPacket/ByteOrder.h>
#include <LibPacket/Checksum.h>

namespace Packet {

namespace {

    constexpr uint16_t moreFragmentsFlag = 0x2000;
    constexpr uint16_t fragmentOffsetMask = 0x1FFF;
    constexpr uint8_t finFlag = 0x01;
    constexpr uint8_t synFlag = 0x02;
    constexpr uint8_t rstFlag = 0x04;
    constexpr uint8_t ackFlag = 0x10;

    std::optional<PacketError> parseIpv4Header(std::span<const std::byte> bytes, Ipv4Packet& packet)
    {
        if (bytes.size() < minimumIpv4HeaderBytes)
            return PacketError::Truncated;
        const auto* header = bytes.data();
        if (load8(header) >> 4 != 4)
            return PacketError::NotIpv4;
        const std::size_t headerLength = static_cast<std::size_t>(load8(header) & 0x0F) * 4;
        if (headerLength < minimumIpv4HeaderBytes)
            return PacketError::BadHeaderLength;
        packet.totalLength = load16(header + 2);
        if (packet.totalLength < headerLength)
            return PacketError::BadTotalLength;
        if (packet.totalLength > bytes.size())
            return PacketError::Truncated;
        if (finishChecksum(checksumSum(bytes.first(headerLength))) != 0)
            return PacketError::BadHeaderChecksum;
        if ((load16(header + 6) & (moreFragmentsFlag | fragmentOffsetMask)) != 0)
            return PacketError::Fragment;
        if (load8(header + 8) == 0)
            return PacketError::ZeroTimeToLive;
        packet.source.address = { load32(header + 12) };
        packet.destination.address = { load32(header + 16) };
        packet.transportOffset = static_cast<uint16_t>(headerLength);
        return std::nullopt;
    }

    std::optional<PacketError> parseTcp(std::span<const std::byte> segment, Ipv4Packet& packet)
    {
        if (segment.size() < minimumTcpHeaderBytes)
            return PacketError::TruncatedTransport;
        const std::size_t headerLength = static_cast<std::size_t>(load8(segment.data() + 12) >> 4) * 4;
        if (headerLength < minimumTcpHeaderBytes || headerLength > segment.size())
            return PacketError::BadTransportLength;
        packet.sequence = load32(segment.data() + 4);
        packet.acknowledgement = load32(segment.data() + 8);
        const auto flags = load8(segment.data() + 13);
        packet.flags = { .syn = (flags & synFlag) != 0,
            .ack = (flags & ackFlag) != 0,
            .fin = (flags & finFlag) != 0,
            .rst = (flags & rstFlag) != 0 };
        packet.payloadOffset = static_cast<uint16_t>(packet.transportOffset + headerLength);
        packet.payloadLength = static_cast<uint16_t>(segment.size() - headerLength);
        return std::nullopt;
    }

    std::optional<PacketError> parseUdp(std::span<const std::byte> datagram, Ipv4Packet& packet)
    {
        if (datagram.size() < udpHeaderBytes)
            return PacketError::TruncatedTransport;
        const std::size_t length = load16(datagram.data() + 4);
        if (length < udpHeaderBytes || length != datagram.size())
            return PacketError::BadTransportLength;
        packet.flags = {};
        packet.sequence = 0;
        packet.acknowledgement = 0;
        packet.payloadOffset = static_cast<uint16_t>(packet.transportOffset + udpHeaderBytes);
        packet.payloadLength = static_cast<uint16_t>(length - udpHeaderBytes);
        return std::nullopt;
    }

    bool isTransportChecksumValid(std::span<const std::byte> transport, const Ipv4Packet& packet)
    {
        if (packet.protocol == IpProtocol::Udp && load16(transport.data() + 6) == 0)
            return true;
        const auto sum = pseudoHeaderSum(packet.source.address, packet.destination.address,
            static_cast<uint8_t>(packet.protocol), static_cast<uint16_t>(transport.size()));
        return finishChecksum(sum + checksumSum(transport)) == 0;
    }

}

std::string_view toString(PacketError error)
{
    switch (error) {
    case PacketError::Truncated:
        return "truncated";
    case PacketError::NotIpv4:
        return "not_ipv4";
    case PacketError::BadHeaderLength:
        return "bad_header_length";
    case PacketError::BadTotalLength:
        return "bad_total_length";
    case PacketError::Fragment:
        return "fragment";
    case PacketError::BadHeaderChecksum:
        return "bad_header_checksum";
    case PacketError::ZeroTimeToLive:
        return "zero_time_to_live";
    case PacketError::UnknownProtocol:
        return "unknown_protocol";
    case PacketError::TruncatedTransport:
        return "truncated_transport";
    case PacketError::BadTransportLength:
        return "bad_transport_length";
    case PacketError::BadTransportChecksum:
        return "bad_transport_checksum";
    case PacketError::ZeroPort:
        return "zero_port";
    }
    return "unknown";
}

std::optional<PacketError> parseIpv4Packet(
    std::span<const std::byte> bytes, const ParseOptions& options, Ipv4Packet& packet)
{
    if (const auto error = parseIpv4Header(bytes, packet))
        return error;
    const auto protocol = load8(bytes.data() + 9);
    const auto transport
        = bytes.subspan(packet.transportOffset, static_cast<std::size_t>(packet.totalLength) - packet.transportOffset);
    std::optional<PacketError> error;
    if (protocol == static_cast<uint8_t>(IpProtocol::Tcp))
        error = parseTcp(transport, packet);
    else if (protocol == static_cast<uint8_t>(IpProtocol::Udp))
        error = parseUdp(transport, packet);
    else
        error = PacketError::UnknownProtocol;
    if (error)
        return error;
    packet.protocol = static_cast<IpProtocol>(protocol);
    packet.source.port = load16(transport.data());
    packet.destination.port = load16(transport.data() + 2);
    if (packet.source.port == 0 || packet.destination.port == 0)
        return PacketError::ZeroPort;
    if (options.verifyTransportChecksum && !isTransportChecksumValid(transport, packet))
        return PacketError::BadTransportChecksum;
    return std::nullopt;
}

PacketSummary summarize(const Ipv4Packet& packet, Direction direction)
{
    const bool toBackendServer = direction == Direction::ToBackendServer;
    return { .key = { .caller = toBackendServer ? packet.source : packet.destination,
                 .service = toBackendServer ? packet.destination : packet.source,
                 .protocol = packet.protocol },
        .direction = direction,
        .flags = packet.flags,
        .payloadLength = packet.payloadLength,
        .sequence = packet.sequence };
}

}
