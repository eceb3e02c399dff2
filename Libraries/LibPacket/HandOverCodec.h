#pragma once

/// A hand-over is a packet that one balancer forwards to another: a fixed-size header and the IPv4 packet in one UDP
/// datagram. The first four bits of the header are never 4, the version field of an encapsulated IPv4 packet.
///
/// A keyed 64-bit hash over header and packet rejects datagrams of unknown senders. It is not a cryptographic
/// signature, since the operators own the network between entry VMs. A replayed datagram is at worst a duplicated
/// packet, which networks produce anyway.

#include <LibBase/Identifiers.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Packet {

/// Size of the header in bytes.
constexpr std::size_t handOverHeaderBytes = 48;

/// Format version; hand-overs of other versions are rejected.
constexpr uint8_t handOverVersion = 1;

/// Fields of the header. reason has the values of Flow::HandOverReason.
struct HandOverHeader {
    uint8_t reason { 0 };
    uint8_t hops { 0 };
    Base::BackendServerId backendServer;
    Base::Revision revision;
    Base::EntryVmId origin;
    Base::EntryVmId flowOwnerId;
    Base::EntryVmId sender;
};

/// Why a hand-over is rejected. Each error has a counter.
enum class HandOverError : uint8_t {
    Truncated,
    NotHandOver,
    UnknownVersion,
    BadField,
    BadHash,
};

/// Number of enumerators of HandOverError.
constexpr std::size_t handOverErrorCount = 5;

std::string_view toString(HandOverError);

/// A hash key derived from a shared secret. It is expanded once, so that hashing a packet needs no key set-up.
class HandOverKey {
public:
    /// Expands a secret of any length.
    explicit HandOverKey(std::string_view secret);

    /// Returns the keyed hash of a datagram; the hash field of the header is not included.
    uint64_t hash(std::span<const std::byte> header, std::span<const std::byte> packet) const;

private:
    static constexpr std::size_t expandedBytes = 192;
    std::array<std::byte, expandedBytes> expanded_ {};
};

/// Whether the first four bits are those of a hand-over, not of an IPv4 packet.
bool looksLikeHandOver(std::span<const std::byte> datagram);

/// Writes the header of a packet, including the keyed hash.
void encodeHandOver(std::span<std::byte, handOverHeaderBytes> buffer, const HandOverHeader&,
    std::span<const std::byte> packet, const HandOverKey&);

/// Authenticates a datagram against any of the keys and decodes its header. Returns the error, or nothing if the header
/// was filled in; the packet starts at handOverHeaderBytes.
std::optional<HandOverError> decodeHandOver(
    std::span<const std::byte> datagram, std::span<const HandOverKey> keys, HandOverHeader&);

}
