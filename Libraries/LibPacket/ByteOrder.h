#pragma once

/// Loads and stores integers in network byte order. Bounds are not checked.

#include <cstddef>
#include <cstdint>

namespace Packet {

inline uint8_t load8(const std::byte* bytes) { return static_cast<uint8_t>(bytes[0]); }

inline uint16_t load16(const std::byte* bytes)
{
    return static_cast<uint16_t>((uint32_t { load8(bytes) } << 8) | load8(bytes + 1));
}

inline uint32_t load32(const std::byte* bytes)
{
    return (static_cast<uint32_t>(load16(bytes)) << 16) | load16(bytes + 2);
}

inline uint64_t load64(const std::byte* bytes)
{
    return (static_cast<uint64_t>(load32(bytes)) << 32) | load32(bytes + 4);
}

inline void store8(std::byte* bytes, uint8_t value) { bytes[0] = static_cast<std::byte>(value); }

inline void store16(std::byte* bytes, uint16_t value)
{
    store8(bytes, static_cast<uint8_t>(value >> 8));
    store8(bytes + 1, static_cast<uint8_t>(value));
}

inline void store32(std::byte* bytes, uint32_t value)
{
    store16(bytes, static_cast<uint16_t>(value >> 16));
    store16(bytes + 2, static_cast<uint16_t>(value));
}

inline void store64(std::byte* bytes, uint64_t value)
{
    store32(bytes, static_cast<uint32_t>(value >> 32));
    store32(bytes + 4, static_cast<uint32_t>(value));
}

}
