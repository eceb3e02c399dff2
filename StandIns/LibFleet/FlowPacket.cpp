#include <LibFleet/FlowPacket.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace StandIn {

namespace {

    constexpr std::size_t headerBytes = 32;
    /// Checksum key shared by callers and backend servers; balancers do not have it.
    constexpr uint64_t checksumKey = 0x5EA1;

    void put(std::vector<uint8_t>& bytes, std::size_t offset, std::size_t width, uint64_t value)
    {
        for (std::size_t index = 0; index < width; ++index)
            bytes[offset + index] = static_cast<uint8_t>(value >> (8 * (width - 1 - index)));
    }

    uint32_t get(std::span<const uint8_t> bytes, std::size_t offset, std::size_t width)
    {
        uint32_t value = 0;
        for (std::size_t index = 0; index < width; ++index)
            value = (value << 8) | bytes[offset + index];
        return value;
    }

    /// Covers the whole packet except the echo, checksum and padding fields. Never returns 0.
    uint32_t checksumOf(std::vector<uint8_t> bytes)
    {
        put(bytes, 8, 4, 0);
        put(bytes, 12, 4, 0);
        put(bytes, 17, 1, 0);
        const auto checksum = static_cast<uint32_t>(Base::hashBytes(std::as_bytes(std::span(bytes)), checksumKey));
        return checksum != 0 ? checksum : 1;
    }

}

std::vector<uint8_t> FlowPacket::write() const
{
    std::vector<uint8_t> bytes(headerBytes + data.size());
    put(bytes, 0, 4, sequence);
    put(bytes, 4, 4, acknowledged);
    put(bytes, 8, 4, echo);
    put(bytes, 16, 1, (isSyn ? 2U : 0U) | (isAck ? 128U : 0U) | (isFin ? 32U : 0U) | (isReset ? 16U : 0U));
    put(bytes, 18, 2, data.size());
    put(bytes, 20, 2, to.port);
    put(bytes, 22, 4, to.address.value);
    put(bytes, 26, 4, from.address.value);
    put(bytes, 30, 2, from.port);
    std::ranges::copy(data, bytes.begin() + headerBytes);
    put(bytes, 12, 4, checksumOf(bytes));
    return bytes;
}

std::optional<FlowPacket> FlowPacket::read(std::span<const uint8_t> bytes)
{
    if (bytes.size() < headerBytes || get(bytes, 18, 2) != bytes.size() - headerBytes)
        return std::nullopt;
    const auto flags = bytes[16];
    FlowPacket packet { .from = { .address = { get(bytes, 26, 4) }, .port = static_cast<uint16_t>(get(bytes, 30, 2)) },
        .to = { .address = { get(bytes, 22, 4) }, .port = static_cast<uint16_t>(get(bytes, 20, 2)) },
        .sequence = get(bytes, 0, 4),
        .acknowledged = get(bytes, 4, 4),
        .echo = get(bytes, 8, 4),
        .isSyn = (flags & 2) != 0,
        .isAck = (flags & 128) != 0,
        .isFin = (flags & 32) != 0,
        .isReset = (flags & 16) != 0,
        .data = std::string(bytes.begin() + headerBytes, bytes.end()) };
    packet.hasZeroChecksum = get(bytes, 12, 4) == 0;
    packet.isChecksumValid = get(bytes, 12, 4) == checksumOf({ bytes.begin(), bytes.end() });
    return packet;
}

}
