#include <LibPacket/PacketBuilder.h>

#include <LibPacket/ByteOrder.h>
#include <LibPacket/Checksum.h>
#include <LibPacket/Ipv4Packet.h>
#include <algorithm>

namespace Packet {

namespace {

    constexpr std::size_t maximumPacketBytes = 0xFFFF;
    constexpr uint8_t timeToLive = 64;
    constexpr uint16_t doNotFragment = 0x4000;
    constexpr uint8_t icmpProtocol = 1;
    constexpr std::size_t icmpHeaderBytes = 8;
    constexpr uint8_t icmpDestinationUnreachable = 3;

    bool fits(std::span<std::byte> buffer, std::size_t length)
    {
        return length <= buffer.size() && length <= maximumPacketBytes;
    }

    void writeIpv4Header(std::span<std::byte> buffer, std::size_t totalLength, uint8_t protocol,
        Base::Ipv4Address source, Base::Ipv4Address destination)
    {
        auto* header = buffer.data();
        std::fill_n(header, minimumIpv4HeaderBytes, std::byte { 0 });
        store8(header, 0x45);
        store16(header + 2, static_cast<uint16_t>(totalLength));
        store16(header + 6, doNotFragment);
        store8(header + 8, timeToLive);
        store8(header + 9, protocol);
        store32(header + 12, source.value);
        store32(header + 16, destination.value);
        store16(header + 10, finishChecksum(checksumSum(buffer.first(minimumIpv4HeaderBytes))));
    }

    uint8_t packFlags(const TcpFlags& flags)
    {
        return static_cast<uint8_t>(
            (flags.fin ? 0x01 : 0) | (flags.syn ? 0x02 : 0) | (flags.rst ? 0x04 : 0) | (flags.ack ? 0x10 : 0));
    }

    uint16_t transportChecksum(std::span<const std::byte> transport, Base::Ipv4Address source,
        Base::Ipv4Address destination, IpProtocol protocol)
    {
        const auto pseudo = pseudoHeaderSum(
            source, destination, static_cast<uint8_t>(protocol), static_cast<uint16_t>(transport.size()));
        return finishChecksum(pseudo + checksumSum(transport));
    }

}

std::size_t buildTcp(std::span<std::byte> buffer, const TcpSegment& segment, std::span<const std::byte> payload)
{
    const auto length = minimumIpv4HeaderBytes + minimumTcpHeaderBytes + payload.size();
    if (!fits(buffer, length))
        return 0;
    writeIpv4Header(
        buffer, length, static_cast<uint8_t>(IpProtocol::Tcp), segment.source.address, segment.destination.address);
    const auto transport = buffer.subspan(minimumIpv4HeaderBytes, length - minimumIpv4HeaderBytes);
    auto* tcp = transport.data();
    std::fill_n(tcp, minimumTcpHeaderBytes, std::byte { 0 });
    store16(tcp, segment.source.port);
    store16(tcp + 2, segment.destination.port);
    store32(tcp + 4, segment.sequence);
    store32(tcp + 8, segment.acknowledgement);
    store8(tcp + 12, static_cast<uint8_t>((minimumTcpHeaderBytes / 4) << 4));
    store8(tcp + 13, packFlags(segment.flags));
    store16(tcp + 14, segment.window);
    std::copy(payload.begin(), payload.end(), tcp + minimumTcpHeaderBytes);
    store16(
        tcp + 16, transportChecksum(transport, segment.source.address, segment.destination.address, IpProtocol::Tcp));
    return length;
}

std::size_t buildUdp(std::span<std::byte> buffer, const UdpDatagram& datagram, std::span<const std::byte> payload)
{
    const auto length = minimumIpv4HeaderBytes + udpHeaderBytes + payload.size();
    if (!fits(buffer, length))
        return 0;
    writeIpv4Header(
        buffer, length, static_cast<uint8_t>(IpProtocol::Udp), datagram.source.address, datagram.destination.address);
    const auto transport = buffer.subspan(minimumIpv4HeaderBytes, length - minimumIpv4HeaderBytes);
    auto* udp = transport.data();
    store16(udp, datagram.source.port);
    store16(udp + 2, datagram.destination.port);
    store16(udp + 4, static_cast<uint16_t>(transport.size()));
    store16(udp + 6, 0);
    std::copy(payload.begin(), payload.end(), udp + udpHeaderBytes);
    const auto checksum
        = transportChecksum(transport, datagram.source.address, datagram.destination.address, IpProtocol::Udp);
    store16(udp + 6, checksum == 0 ? 0xFFFF : checksum);
    return length;
}

std::size_t buildIcmpUnreachable(std::span<std::byte> buffer, Base::Ipv4Address source, Base::Ipv4Address destination,
    uint8_t code, std::span<const std::byte> quoted)
{
    const auto length = minimumIpv4HeaderBytes + icmpHeaderBytes + quoted.size();
    if (!fits(buffer, length))
        return 0;
    writeIpv4Header(buffer, length, icmpProtocol, source, destination);
    const auto message = buffer.subspan(minimumIpv4HeaderBytes, length - minimumIpv4HeaderBytes);
    auto* icmp = message.data();
    std::fill_n(icmp, icmpHeaderBytes, std::byte { 0 });
    store8(icmp, icmpDestinationUnreachable);
    store8(icmp + 1, code);
    std::copy(quoted.begin(), quoted.end(), icmp + icmpHeaderBytes);
    store16(icmp + 2, finishChecksum(checksumSum(message)));
    return length;
}

}
