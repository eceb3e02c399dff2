#pragma once

#include <LibBase/Error.h>
#include <cstddef>
#include <span>
#include <vector>

namespace Mirror {

/// Makes bytes smaller where that pays: configurations of a thousand routes shrink to a tenth, so that a whole failure
/// domain can fetch one through a narrow link within the time it has to be in force.
std::vector<std::byte> compress(std::span<const std::byte>);

/// The reverse. TooLarge beyond maximumBytes; Malformed.
Base::ErrorOr<std::vector<std::byte>> decompress(std::span<const std::byte>, std::size_t maximumBytes);

}
