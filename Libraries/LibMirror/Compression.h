#pragma once

#include <LibBase/Error.h>
#include <cstddef>
#include <span>
#include <vector>

namespace Mirror {

/// Compresses content from 1 KiB on. A configuration of a thousand routes shrinks to a tenth, so that a whole failure
/// domain can fetch it over a narrow link within the time in which it has to be in force.
std::vector<std::byte> compress(std::span<const std::byte>);

/// Reverses compress(). Returns ErrorCode::TooLarge if the result would exceed maximumBytes, ErrorCode::Malformed if
/// the content cannot be decompressed.
Base::ErrorOr<std::vector<std::byte>> decompress(std::span<const std::byte>, std::size_t maximumBytes);

}
