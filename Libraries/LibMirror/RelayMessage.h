#pragma once

/// Messages by which entry VMs fetch the store's records from each other: a msgpack header followed by the records'
/// values.

#include <LibBase/Error.h>
#include <LibMirror/Record.h>
#include <cstddef>
#include <span>

namespace Mirror {

/// Requests the changes after a position; zero if the sender has no state.
struct RelayRequest {
    Base::StorePosition after;
};

std::vector<std::byte> encodeRelayRequest(const RelayRequest&);
/// Returns ErrorCode::Malformed if the payload is not a request.
Base::ErrorOr<RelayRequest> decodeRelayRequest(std::span<const std::byte>);

/// Encodes a batch and compresses it, see compress().
std::vector<std::byte> encodeBatch(const ChangeBatch&);
/// Returns ErrorCode::Malformed, also if a record is older than the batch's range, or ErrorCode::TooLarge.
Base::ErrorOr<ChangeBatch> decodeBatch(std::span<const std::byte>);

}
