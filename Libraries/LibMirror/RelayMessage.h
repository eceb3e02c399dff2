#pragma once

/// What entry VMs ask each other about the store's records: msgpack, with the records' values behind it.

#include <LibBase/Error.h>
#include <LibMirror/Record.h>
#include <cstddef>
#include <span>

namespace Mirror {

/// "What has changed after this revision?" A node without any state asks with 0.
struct RelayQuestion {
    uint64_t after { 0 };
};

std::vector<std::byte> encodeQuestion(const RelayQuestion&);
/// Malformed.
Base::ErrorOr<RelayQuestion> decodeQuestion(std::span<const std::byte>);

/// Compressed where that pays.
std::vector<std::byte> encodeBatch(const ChangeBatch&);
/// Malformed, also for records out of the batch's range; TooLarge.
Base::ErrorOr<ChangeBatch> decodeBatch(std::span<const std::byte>);

}
