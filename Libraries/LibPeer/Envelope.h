#pragma once

/// The message format between the system's processes: one msgpack-encoded envelope per frame.

#include <LibBase/Error.h>
#include <LibBase/Identifiers.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Peer {

/// Selects the component of the receiver that handles a message.
enum class Channel : uint8_t {
    /// Messages of LibControl.
    Control = 1,
    /// Messages of the flow decisions.
    Flow = 2,
    /// Status requests (see NodeStatus.h). The response is sent on the same connection.
    Query = 3,
    /// Reports of the prober. The response on the same connection lists the targets to probe (see ProbeExchange.h).
    Probe = 4,
};

/// Format version. Envelopes of other versions are rejected; unknown fields of this version are ignored.
constexpr uint32_t envelopeVersion = 1;

/// A message and its sender.
struct Envelope {
    Channel channel { Channel::Control };
    /// Invalid for local programs, which only send requests.
    Base::EntryVmId sender;
    /// Increases with each start of the sender's process.
    uint64_t incarnation { 0 };
    /// Increases with each message of an incarnation. The response to a request repeats it as replyTo.
    uint64_t sequence { 0 };
    /// In a response: the sequence of the request.
    uint64_t replyTo { 0 };
    std::vector<std::byte> payload;
};

/// Encodes as msgpack.
std::vector<std::byte> encodeEnvelope(const Envelope&);

/// Returns ErrorCode::Malformed unless the bytes are a valid envelope of this version.
Base::ErrorOr<Envelope> decodeEnvelope(std::span<const std::byte>);

}
