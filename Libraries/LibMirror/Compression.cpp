#include <LibMirror/Compression.h>

#include <LibPacket/ByteOrder.h>
#include <zlib.h>

namespace Mirror {

namespace {

    using Base::ErrorCode;

    /// Uncompressed length in network byte order; 0 means that the content is not compressed.
    constexpr std::size_t headerBytes = 4;
    /// Single changes are smaller; compressing them saves nothing.
    constexpr std::size_t compressionThresholdBytes = 1024;

    const Bytef* toZlib(const std::byte* bytes) { return reinterpret_cast<const Bytef*>(bytes); }

}

std::vector<std::byte> compress(std::span<const std::byte> bytes)
{
    std::vector<std::byte> packed(headerBytes);
    if (bytes.size() >= compressionThresholdBytes) {
        uLongf length = compressBound(bytes.size());
        packed.resize(headerBytes + length);
        const int result = compress2(reinterpret_cast<Bytef*>(packed.data() + headerBytes), &length,
            toZlib(bytes.data()), bytes.size(), Z_BEST_SPEED);
        packed.resize(result == Z_OK ? headerBytes + length : headerBytes);
        if (result == Z_OK) {
            Packet::store32(packed.data(), static_cast<uint32_t>(bytes.size()));
            return packed;
        }
    }
    packed.insert(packed.end(), bytes.begin(), bytes.end());
    return packed;
}

Base::ErrorOr<std::vector<std::byte>> decompress(std::span<const std::byte> packed, std::size_t maximumBytes)
{
    if (packed.size() < headerBytes)
        return Base::makeError(ErrorCode::Malformed, "expected a 4-byte length header");
    const auto content = packed.subspan(headerBytes);
    uLongf length = Packet::load32(packed.data());
    if (length == 0)
        return std::vector<std::byte>(content.begin(), content.end());
    if (length > maximumBytes)
        return Base::makeError(ErrorCode::TooLarge, "uncompressed content is too large");
    std::vector<std::byte> bytes(length);
    const int result
        = uncompress(reinterpret_cast<Bytef*>(bytes.data()), &length, toZlib(content.data()), content.size());
    if (result != Z_OK || length != bytes.size())
        return Base::makeError(ErrorCode::Malformed, "content cannot be decompressed");
    return bytes;
}

}
