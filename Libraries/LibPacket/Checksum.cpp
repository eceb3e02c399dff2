#include <LibPacket/Checksum.h>

#include <LibPacket/ByteOrder.h>

namespace Packet {

uint64_t checksumSum(std::span<const std::byte> bytes)
{
    uint64_t sum = 0;
    std::size_t position = 0;
    for (; position + 4 <= bytes.size(); position += 4)
        sum += load32(bytes.data() + position);
    if (position + 2 <= bytes.size()) {
        sum += load16(bytes.data() + position);
        position += 2;
    }
    if (position < bytes.size())
        sum += static_cast<uint64_t>(load8(bytes.data() + position)) << 8;
    return sum;
}

uint16_t finishChecksum(uint64_t sum)
{
    while (sum > 0xFFFF)
        sum = (sum & 0xFFFF) + (sum >> 16);
    return static_cast<uint16_t>(~sum);
}

uint64_t pseudoHeaderSum(Base::Ipv4Address source, Base::Ipv4Address destination, uint8_t protocol, uint16_t length)
{
    return static_cast<uint64_t>(source.value) + destination.value + protocol + length;
}

}
