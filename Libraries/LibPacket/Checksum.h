#pragma once

/// The Internet checksum (RFC 1071).

#include <LibBase/Ipv4Endpoint.h>
#include <cstddef>
#include <cstdint>
#include <span>

namespace Packet {

/// Returns the unfolded one's complement sum of 16-bit words; an odd last byte is padded with zero. Sums of parts of
/// even length may be added.
uint64_t checksumSum(std::span<const std::byte>);

/// Folds and complements a sum. Returns the checksum for the header, or 0 if the sum includes a valid checksum.
uint16_t finishChecksum(uint64_t sum);

/// Returns the unfolded sum of the pseudo header of TCP and UDP. length: transport header and payload, in bytes.
uint64_t pseudoHeaderSum(Base::Ipv4Address source, Base::Ipv4Address destination, uint8_t protocol, uint16_t length);

}
