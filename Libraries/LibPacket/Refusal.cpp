#include <LibPacket/Refusal.h>

#include <LibPacket/PacketBuilder.h>
#include <algorithm>

namespace Packet {

namespace {

    constexpr uint8_t icmpHostUnreachable = 1;
    constexpr uint8_t icmpPortUnreachable = 3;
    constexpr uint8_t icmpAdministrativelyProhibited = 13;
    /// RFC 792: the message quotes the IPv4 header and the 8 bytes after it.
    constexpr std::size_t quotedTransportBytes = 8;

    uint8_t icmpCode(RefusalMeaning meaning)
    {
        switch (meaning) {
        case RefusalMeaning::NotRun:
            return icmpAdministrativelyProhibited;
        case RefusalMeaning::RefusedByBackendServer:
            return icmpPortUnreachable;
        case RefusalMeaning::Unknown:
            return icmpHostUnreachable;
        }
        return icmpHostUnreachable;
    }

    std::size_t buildReset(std::span<std::byte> buffer, const Ipv4Packet& packet)
    {
        if (packet.flags.rst)
            return 0;
        TcpSegment reset {
            .source = packet.destination, .destination = packet.source, .flags = { .rst = true }, .window = 0
        };
        if (packet.flags.ack) {
            reset.sequence = packet.acknowledgement;
        } else {
            reset.flags.ack = true;
            reset.acknowledgement
                = packet.sequence + packet.payloadLength + (packet.flags.syn ? 1 : 0) + (packet.flags.fin ? 1 : 0);
        }
        return buildTcp(buffer, reset, {});
    }

}

std::size_t buildRefusal(
    std::span<std::byte> buffer, std::span<const std::byte> bytes, const Ipv4Packet& packet, RefusalMeaning meaning)
{
    if (packet.protocol == IpProtocol::Tcp)
        return buildReset(buffer, packet);
    const auto quoted = std::min<std::size_t>(packet.transportOffset + quotedTransportBytes, bytes.size());
    return buildIcmpUnreachable(
        buffer, packet.destination.address, packet.source.address, icmpCode(meaning), bytes.first(quoted));
}

}
