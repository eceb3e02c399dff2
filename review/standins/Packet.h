#pragma once

// The packet of a flow: header fields, order and widths as the protocol's example gives them.

#include "Loop.h"

namespace Review {

struct Packet {
    Endpoint from;
    Endpoint to;
    uint32_t sequence { 0 };
    uint32_t acknowledged { 0 };
    uint32_t echo { 0 };
    bool isSyn { false };
    bool isAck { false };
    bool isFin { false };
    bool isReset { false };
    std::string data;
    /// Filled in by read().
    bool hasZeroSum { false };
    bool isSumValid { false };
};

inline constexpr std::size_t headerBytes = 32;
inline constexpr std::size_t sumOffset = 12;

inline void putNumber(std::string& bytes, std::size_t offset, std::size_t width, uint64_t value)
{
    for (std::size_t index = 0; index < width; ++index)
        bytes[offset + index] = static_cast<char>(value >> (8 * (width - 1 - index)));
}

inline uint32_t getNumber(const std::string& bytes, std::size_t offset, std::size_t width)
{
    uint32_t value = 0;
    for (std::size_t index = 0; index < width; ++index)
        value = (value << 8) | static_cast<uint8_t>(bytes[offset + index]);
    return value;
}

/// The keyed sum of clients and targets: all fields but echo, pad and the sum itself. Never 0.
inline uint32_t sumOf(std::string bytes)
{
    constexpr uint32_t key = 0x5bd1e995;
    putNumber(bytes, 8, 8, 0);
    putNumber(bytes, 17, 1, 0);
    uint32_t sum = key;
    for (const char byte : bytes)
        sum = (sum ^ static_cast<uint8_t>(byte)) * 16777619U;
    return sum != 0 ? sum : 1;
}

inline std::string writePacket(const Packet& packet)
{
    std::string bytes(headerBytes, '\0');
    putNumber(bytes, 0, 4, packet.sequence);
    putNumber(bytes, 4, 4, packet.acknowledged);
    putNumber(bytes, 8, 4, packet.echo);
    putNumber(bytes, 16, 1,
        (packet.isSyn ? 2U : 0U) | (packet.isAck ? 128U : 0U) | (packet.isFin ? 32U : 0U)
            | (packet.isReset ? 16U : 0U));
    putNumber(bytes, 18, 2, packet.data.size());
    putNumber(bytes, 20, 2, packet.to.port);
    putNumber(bytes, 22, 4, packet.to.address);
    putNumber(bytes, 26, 4, packet.from.address);
    putNumber(bytes, 30, 2, packet.from.port);
    bytes += packet.data;
    putNumber(bytes, sumOffset, 4, sumOf(bytes));
    return bytes;
}

inline bool readPacket(const std::string& bytes, Packet& packet)
{
    if (bytes.size() < headerBytes || getNumber(bytes, 18, 2) != bytes.size() - headerBytes)
        return false;
    const auto flags = getNumber(bytes, 16, 1);
    packet = { .from = { getNumber(bytes, 26, 4), static_cast<uint16_t>(getNumber(bytes, 30, 2)) },
        .to = { getNumber(bytes, 22, 4), static_cast<uint16_t>(getNumber(bytes, 20, 2)) },
        .sequence = getNumber(bytes, 0, 4),
        .acknowledged = getNumber(bytes, 4, 4),
        .echo = getNumber(bytes, 8, 4),
        .isSyn = (flags & 2) != 0,
        .isAck = (flags & 128) != 0,
        .isFin = (flags & 32) != 0,
        .isReset = (flags & 16) != 0,
        .data = bytes.substr(headerBytes) };
    packet.hasZeroSum = getNumber(bytes, sumOffset, 4) == 0;
    packet.isSumValid = getNumber(bytes, sumOffset, 4) == sumOf(bytes);
    return true;
}

/// Receives one datagram. Returns false if there is none.
inline bool receiveDatagram(int socket, std::string& bytes, Endpoint& sender)
{
    bytes.resize(4096);
    sockaddr_in native {};
    socklen_t length = sizeof(native);
    const auto count
        = ::recvfrom(socket, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&native), &length);
    if (count < 0)
        return false;
    bytes.resize(static_cast<std::size_t>(count));
    sender = { ntohl(native.sin_addr.s_addr), ntohs(native.sin_port) };
    return true;
}

inline void sendDatagram(int socket, const std::string& bytes, const Endpoint& to)
{
    const auto native = to.native();
    ::sendto(
        socket, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
}

}
