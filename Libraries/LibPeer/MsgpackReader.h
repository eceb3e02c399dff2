#pragma once

#include <LibBase/Error.h>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <span>

namespace Peer {

/// Parses an untrusted msgpack value. Returns ErrorCode::Malformed if it is invalid or nested more than 8 levels deep:
/// the decoder is recursive, and deep nesting would exhaust the stack.
Base::ErrorOr<nlohmann::json> readMsgpack(std::span<const std::byte>);

std::vector<std::byte> writeMsgpack(const nlohmann::json&);

}
