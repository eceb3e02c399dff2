#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace Base {

/// Hashes an integer to a well-distributed 64-bit value with the finalizer of SplitMix64.
constexpr uint64_t mix(uint64_t value)
{
    value += 0x9E3779B97F4A7C15ULL;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}

/// Hashes two integers to a well-distributed 64-bit value. The result depends on their order.
constexpr uint64_t mix(uint64_t first, uint64_t second) { return mix(mix(first) ^ (second * 0xD6E8FEB86659FD93ULL)); }

/// XXH3 hash of bytes. All nodes compute the same value.
uint64_t hashBytes(std::span<const std::byte>, uint64_t seed = 0);

/// XXH3 hash of a text; equal to hashBytes() of its characters.
uint64_t hashText(std::string_view, uint64_t seed = 0);

}
