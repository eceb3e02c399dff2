#pragma once

#include <LibBase/Error.h>
#include <string>
#include <string_view>

namespace Control {

/// Compresses with zlib (deflate). The output for the same input is identical on all nodes that use the same zlib
/// version.
std::string compressBytes(std::string_view);

/// Returns Malformed if the input is not valid compressed data, and TooLarge if the output would exceed maximumBytes.
Base::ErrorOr<std::string> decompressBytes(std::string_view, std::size_t maximumBytes);

}
