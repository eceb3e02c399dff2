#pragma once

/// Bounded decoding of msgpack into a JSON value. Size and nesting are checked before a value is built, so that
/// untrusted input cannot exhaust memory or the stack.

#include <LibBase/Error.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Configuration {

/// Maximum nesting depth of arrays and maps.
constexpr std::size_t maximumNesting = 16;

/// Fails with TooLarge above maximumBytes, and with Malformed if the bytes are not exactly one msgpack value.
Base::ErrorOr<nlohmann::json> decodeMsgpack(std::string_view bytes, std::size_t maximumBytes);

std::string encodeMsgpack(const nlohmann::json&);

}
