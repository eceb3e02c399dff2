#pragma once

/// Refusals of packets, sent to the caller in the form that ordinary hosts use: a TCP reset, or an ICMP destination
/// unreachable for UDP.

#include <LibPacket/Ipv4Packet.h>
#include <cstddef>
#include <span>

namespace Packet {

/// What the refusal signals to the caller's kernel and application about the execution of the flow's work.
enum class RefusalMeaning : uint8_t {
    /// No part of the flow's work reached a backend server. UDP: administratively prohibited (code 13).
    NotRun,
    /// The backend server refused the work itself. UDP: port unreachable (code 3).
    RefusedByBackendServer,
    /// Whether the work was executed is unknown. UDP: host unreachable (code 1).
    Unknown,
};

/// Upper limit of the size of a refusal in bytes.
constexpr std::size_t maximumRefusalBytes = 128;

/// Builds the refusal of a valid packet. Returns its length in bytes, or 0 if the buffer is too small or no refusal may
/// be sent because the packet is a TCP reset itself. The reset's sequence number is the packet's acknowledgement
/// number; if there is none, the reset acknowledges the packet (RFC 9293, 3.10.7.1).
std::size_t buildRefusal(
    std::span<std::byte> buffer, std::span<const std::byte> bytes, const Ipv4Packet&, RefusalMeaning);

}
