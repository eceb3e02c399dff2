#pragma once

/// TCP framing: a length (4 bytes, network order), a message authentication code, and an encoded envelope. The length
/// covers the bytes after it and is checked against the limit before the rest of the frame is awaited.

#include <LibPeer/Authenticator.h>
#include <LibPeer/Envelope.h>
#include <optional>
#include <vector>

namespace Peer {

/// Bytes of the length prefix.
constexpr std::size_t frameLengthBytes = 4;

/// Default limit of the frame size in bytes, without the length prefix.
constexpr std::size_t defaultMaximumFrameBytes = std::size_t { 256 } * 1024;

/// Encodes and signs an envelope.
std::vector<std::byte> encodeFrame(const Envelope&, const Authenticator&);

/// Splits a byte stream into frames.
class FrameReader {
public:
    explicit FrameReader(std::size_t maximumFrameBytes)
        : maximumFrameBytes_(maximumFrameBytes)
    {
    }

    /// Appends received bytes to the buffer.
    void append(std::span<const std::byte>);
    /// Returns the body (authentication code and envelope) of the next complete frame, or nothing if more bytes are
    /// needed. Returns ErrorCode::TooLarge or ErrorCode::Malformed for an invalid length; the connection must be closed
    /// then.
    Base::ErrorOr<std::optional<std::vector<std::byte>>> next();

private:
    std::size_t maximumFrameBytes_;
    std::vector<std::byte> buffer_;
    std::size_t position_ { 0 };
};

/// Authenticates a frame's body and decodes its envelope. Returns ErrorCode::Unauthenticated, without decoding
/// anything, if no key matches, or ErrorCode::Malformed.
Base::ErrorOr<Envelope> decodeFrame(std::span<const std::byte> body, const Authenticator&);

}
