#include <LibPacket/HandOverCodec.h>

#include <LibBase/Hash.h>
#include <LibPacket/ByteOrder.h>
#include <algorithm>
#include <xxhash.h>

namespace Packet {

namespace {

    constexpr uint8_t handOverMagic = 0xE;
    constexpr std::size_t hashOffset = 40;

}

std::string_view toString(HandOverError error)
{
    switch (error) {
    case HandOverError::Truncated:
        return "truncated";
    case HandOverError::NotHandOver:
        return "not_hand_over";
    case HandOverError::UnknownVersion:
        return "unknown_version";
    case HandOverError::BadField:
        return "bad_field";
    case HandOverError::BadHash:
        return "bad_hash";
    }
    return "unknown";
}

HandOverKey::HandOverKey(std::string_view secret)
{
    for (std::size_t offset = 0; offset < expandedBytes; offset += sizeof(uint64_t))
        store64(expanded_.data() + offset, Base::hashText(secret, offset + 1));
}

uint64_t HandOverKey::hash(std::span<const std::byte> header, std::span<const std::byte> packet) const
{
    const auto headerHash = XXH3_64bits_withSecret(header.data(), hashOffset, expanded_.data(), expanded_.size());
    const auto packetHash = XXH3_64bits_withSecret(packet.data(), packet.size(), expanded_.data(), expanded_.size());
    return Base::mix(headerHash ^ load64(expanded_.data()), packetHash);
}

bool looksLikeHandOver(std::span<const std::byte> datagram)
{
    return !datagram.empty() && load8(datagram.data()) >> 4 == handOverMagic;
}

void encodeHandOver(std::span<std::byte, handOverHeaderBytes> buffer, const HandOverHeader& header,
    std::span<const std::byte> packet, const HandOverKey& key)
{
    auto* bytes = buffer.data();
    store8(bytes, static_cast<uint8_t>((handOverMagic << 4) | handOverVersion));
    store8(bytes + 1, header.reason);
    store8(bytes + 2, header.hops);
    store8(bytes + 3, 0);
    store32(bytes + 4, header.backendServer.value);
    store64(bytes + 8, header.revision.value);
    store64(bytes + 16, header.origin.value);
    store64(bytes + 24, header.flowOwnerId.value);
    store64(bytes + 32, header.sender.value);
    store64(bytes + hashOffset, key.hash(buffer, packet));
}

std::optional<HandOverError> decodeHandOver(
    std::span<const std::byte> datagram, std::span<const HandOverKey> keys, HandOverHeader& header)
{
    if (datagram.empty())
        return HandOverError::Truncated;
    if (!looksLikeHandOver(datagram))
        return HandOverError::NotHandOver;
    if (datagram.size() <= handOverHeaderBytes)
        return HandOverError::Truncated;
    const auto* bytes = datagram.data();
    if ((load8(bytes) & 0x0F) != handOverVersion)
        return HandOverError::UnknownVersion;
    const auto hash = load64(bytes + hashOffset);
    const auto packet = datagram.subspan(handOverHeaderBytes);
    const bool authentic = std::any_of(keys.begin(), keys.end(),
        [&](const HandOverKey& key) { return key.hash(datagram.first(handOverHeaderBytes), packet) == hash; });
    if (!authentic)
        return HandOverError::BadHash;
    header = { .reason = load8(bytes + 1),
        .hops = load8(bytes + 2),
        .backendServer = { load32(bytes + 4) },
        .revision = { load64(bytes + 8) },
        .origin = { load64(bytes + 16) },
        .flowOwnerId = { load64(bytes + 24) },
        .sender = { load64(bytes + 32) } };
    if (!header.sender.isValid() || !header.origin.isValid())
        return HandOverError::BadField;
    return std::nullopt;
}

}
