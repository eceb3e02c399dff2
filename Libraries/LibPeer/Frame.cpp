#include <LibPeer/Frame.h>

namespace Peer {

using Base::ErrorCode;

std::vector<std::byte> encodeFrame(const Envelope& envelope, const Authenticator& authenticator)
{
    const auto encoded = encodeEnvelope(envelope);
    const auto code = authenticator.sign(encoded);
    const auto length = static_cast<uint32_t>(code.size() + encoded.size());
    std::vector<std::byte> frame;
    frame.reserve(frameLengthBytes + length);
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<std::byte>(length >> shift));
    frame.insert(frame.end(), code.begin(), code.end());
    frame.insert(frame.end(), encoded.begin(), encoded.end());
    return frame;
}

void FrameReader::append(std::span<const std::byte> bytes)
{
    if (position_ > 0) {
        buffer_.erase(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(position_));
        position_ = 0;
    }
    buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
}

Base::ErrorOr<std::optional<std::vector<std::byte>>> FrameReader::next()
{
    const auto rest = std::span(buffer_).subspan(position_);
    if (rest.size() < frameLengthBytes)
        return std::nullopt;
    std::size_t length = 0;
    for (const auto byte : rest.first(frameLengthBytes))
        length = (length << 8) | static_cast<std::size_t>(byte);
    if (length > maximumFrameBytes_)
        return Base::makeError(ErrorCode::TooLarge, "frame: length exceeds the limit");
    if (length <= authenticationCodeBytes)
        return Base::makeError(ErrorCode::Malformed, "frame: too short");
    if (rest.size() < frameLengthBytes + length)
        return std::nullopt;
    const auto body = rest.subspan(frameLengthBytes, length);
    position_ += frameLengthBytes + length;
    return std::optional(std::vector<std::byte>(body.begin(), body.end()));
}

Base::ErrorOr<Envelope> decodeFrame(std::span<const std::byte> body, const Authenticator& authenticator)
{
    if (body.size() <= authenticationCodeBytes)
        return Base::makeError(ErrorCode::Malformed, "frame: too short");
    const auto encoded = body.subspan(authenticationCodeBytes);
    if (!authenticator.isAuthentic(encoded, body.first(authenticationCodeBytes)))
        return Base::makeError(ErrorCode::Unauthenticated, "frame: signed with an unknown key");
    return decodeEnvelope(encoded);
}

}
