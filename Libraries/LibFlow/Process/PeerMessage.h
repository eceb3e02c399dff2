#pragma once

#include <LibBase/Error.h>
#include <LibFlow/Process/FlowStatistics.h>
#include <cstddef>
#include <span>
#include <vector>

namespace Flow {

/// A control message between two deciders, encoded as a msgpack map with short keys. Unknown keys are skipped, so that
/// later versions can add some.
struct PeerMessage {
    static constexpr uint64_t version = 1;
    /// Maximum size of a message in bytes.
    static constexpr std::size_t maximumSize = 16'384;

    ControlKind kind { ControlKind::LimitClaim };
    /// Incarnation of the sender.
    uint64_t incarnation { 0 };
    /// Payload of the message as a flat list; its layout depends on the kind.
    std::vector<uint64_t> values;

    std::vector<std::byte> encode() const;
    /// Returns TooLarge for an oversized message, Malformed for one that cannot be parsed, OutOfRange for an
    /// unsupported version.
    static Base::ErrorOr<PeerMessage> decode(std::span<const std::byte>);
};

}
