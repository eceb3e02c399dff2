#include "WirePacket.h"

namespace StandIn {

static constexpr std::size_t ipv4HeaderBytes = 20;
static constexpr std::size_t tcpHeaderBytes = 20;
static constexpr std::size_t udpHeaderBytes = 8;
static constexpr std::size_t icmpHeaderBytes = 8;
static constexpr uint8_t initialTimeToLive = 64;

static void put16(std::vector<uint8_t>& bytes, std::size_t offset, uint16_t value)
{
    bytes[offset] = static_cast<uint8_t>(value >> 8);
    bytes[offset + 1] = static_cast<uint8_t>(value);
}

static void put32(std::vector<uint8_t>& bytes, std::size_t offset, uint32_t value)
{
    put16(bytes, offset, static_cast<uint16_t>(value >> 16));
    put16(bytes, offset + 2, static_cast<uint16_t>(value));
}

static uint16_t get16(std::span<const uint8_t> bytes, std::size_t offset)
{
    return static_cast<uint16_t>((bytes[offset] << 8) | bytes[offset + 1]);
}

static uint32_t get32(std::span<const uint8_t> bytes, std::size_t offset)
{
    return (static_cast<uint32_t>(get16(bytes, offset)) << 16) | get16(bytes, offset + 2);
}

static uint32_t addWords(std::span<const uint8_t> bytes, uint32_t start)
{
    uint32_t total = start;
    for (std::size_t index = 0; index + 1 < bytes.size(); index += 2)
        total += get16(bytes, index);
    if (bytes.size() % 2 == 1)
        total += static_cast<uint32_t>(bytes.back()) << 8;
    return total;
}

static uint16_t finishChecksum(uint32_t total)
{
    while (total > 0xFFFF)
        total = (total & 0xFFFF) + (total >> 16);
    return static_cast<uint16_t>(~total);
}

static uint32_t pseudoHeaderSum(uint32_t source, uint32_t destination, uint8_t protocol, std::size_t length)
{
    return (source >> 16) + (source & 0xFFFF) + (destination >> 16) + (destination & 0xFFFF) + protocol
        + static_cast<uint32_t>(length);
}

static std::size_t transportHeaderBytes(Transport transport)
{
    return transport == Transport::Tcp ? tcpHeaderBytes : udpHeaderBytes;
}

static void writeIpv4Header(std::vector<uint8_t>& bytes, const WirePacket& packet)
{
    bytes[0] = 0x45;
    put16(bytes, 2, static_cast<uint16_t>(bytes.size()));
    bytes[8] = initialTimeToLive;
    bytes[9] = static_cast<uint8_t>(packet.transport);
    put32(bytes, 12, packet.source.address.value);
    put32(bytes, 16, packet.destination.address.value);
    put16(bytes, 10, finishChecksum(addWords(std::span(bytes).first(ipv4HeaderBytes), 0)));
}

static void writeTransportHeader(std::vector<uint8_t>& bytes, const WirePacket& packet)
{
    put16(bytes, ipv4HeaderBytes, packet.source.port);
    put16(bytes, ipv4HeaderBytes + 2, packet.destination.port);
    const auto transportBytes = bytes.size() - ipv4HeaderBytes;
    std::size_t checksumOffset = ipv4HeaderBytes + 6;
    if (packet.transport == Transport::Tcp) {
        put32(bytes, ipv4HeaderBytes + 4, packet.sequence);
        put32(bytes, ipv4HeaderBytes + 8, packet.acknowledgement);
        bytes[ipv4HeaderBytes + 12] = 0x50;
        bytes[ipv4HeaderBytes + 13] = packet.flags;
        put16(bytes, ipv4HeaderBytes + 14, 0xFFFF);
        checksumOffset = ipv4HeaderBytes + 16;
    } else {
        put16(bytes, ipv4HeaderBytes + 4, static_cast<uint16_t>(transportBytes));
    }
    const auto pseudo = pseudoHeaderSum(packet.source.address.value, packet.destination.address.value,
        static_cast<uint8_t>(packet.transport), transportBytes);
    put16(bytes, checksumOffset, finishChecksum(addWords(std::span(bytes).subspan(ipv4HeaderBytes), pseudo)));
}

std::vector<uint8_t> serialize(const WirePacket& packet)
{
    const auto headers = ipv4HeaderBytes + transportHeaderBytes(packet.transport);
    std::vector<uint8_t> bytes(headers + packet.payload.size(), 0);
    std::copy(packet.payload.begin(), packet.payload.end(), bytes.begin() + static_cast<std::ptrdiff_t>(headers));
    writeIpv4Header(bytes, packet);
    writeTransportHeader(bytes, packet);
    return bytes;
}

static std::optional<WirePacket> parseIcmp(std::span<const uint8_t> transport, WirePacket packet)
{
    if (transport.size() < icmpHeaderBytes + ipv4HeaderBytes + 4 || finishChecksum(addWords(transport, 0)) != 0)
        return std::nullopt;
    packet.icmpType = transport[0];
    packet.icmpCode = transport[1];
    const auto original = transport.subspan(icmpHeaderBytes);
    packet.source = { .address = { get32(original, 12) }, .port = get16(original, ipv4HeaderBytes) };
    packet.destination = { .address = { get32(original, 16) }, .port = get16(original, ipv4HeaderBytes + 2) };
    return packet;
}

static std::optional<WirePacket> parseTransport(std::span<const uint8_t> transport, WirePacket packet)
{
    const auto pseudo = pseudoHeaderSum(packet.source.address.value, packet.destination.address.value,
        static_cast<uint8_t>(packet.transport), transport.size());
    if (transport.size() < transportHeaderBytes(packet.transport) || finishChecksum(addWords(transport, pseudo)) != 0)
        return std::nullopt;
    packet.source.port = get16(transport, 0);
    packet.destination.port = get16(transport, 2);
    std::size_t headerBytes = udpHeaderBytes;
    if (packet.transport == Transport::Tcp) {
        packet.sequence = get32(transport, 4);
        packet.acknowledgement = get32(transport, 8);
        packet.flags = transport[13];
        headerBytes = static_cast<std::size_t>(transport[12] >> 4) * 4;
        if (headerBytes < tcpHeaderBytes || headerBytes > transport.size())
            return std::nullopt;
    }
    const auto payload = transport.subspan(headerBytes);
    packet.payload.assign(payload.begin(), payload.end());
    return packet;
}

std::optional<WirePacket> parse(std::span<const uint8_t> bytes)
{
    if (bytes.size() < ipv4HeaderBytes || bytes[0] != 0x45 || get16(bytes, 2) != bytes.size())
        return std::nullopt;
    if (finishChecksum(addWords(bytes.first(ipv4HeaderBytes), 0)) != 0)
        return std::nullopt;
    WirePacket packet;
    packet.transport = static_cast<Transport>(bytes[9]);
    packet.source.address.value = get32(bytes, 12);
    packet.destination.address.value = get32(bytes, 16);
    const auto transport = bytes.subspan(ipv4HeaderBytes);
    if (packet.transport == Transport::Icmp)
        return parseIcmp(transport, packet);
    if (packet.transport == Transport::Tcp || packet.transport == Transport::Udp)
        return parseTransport(transport, packet);
    return std::nullopt;
}

}
