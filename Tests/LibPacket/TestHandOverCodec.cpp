#include "SamplePackets.h"

#include <LibBase/Random.h>
#include <LibPacket/HandOverCodec.h>
#include <catch2/catch.hpp>

using Packet::HandOverError;
using Packet::HandOverKey;

namespace {

const Packet::HandOverHeader sampleHeader { .reason = 2,
    .hops = 3,
    .backendServer = { 17 },
    .revision = { 99 },
    .origin = { 0x7F0000010001 },
    .flowOwnerId = { 0x7F0000010002 },
    .sender = { 0x7F0000010003 } };

std::vector<std::byte> sampleDatagram(const HandOverKey& key)
{
    const auto packet = Tests::sampleTcp({ .syn = true }, 5);
    std::vector<std::byte> datagram(Packet::handOverHeaderBytes);
    Packet::encodeHandOver(std::span(datagram).first<Packet::handOverHeaderBytes>(), sampleHeader, packet, key);
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    return datagram;
}

std::optional<HandOverError> decode(std::span<const std::byte> datagram, std::span<const HandOverKey> keys)
{
    Packet::HandOverHeader header;
    return Packet::decodeHandOver(datagram, keys, header);
}

}

TEST_CASE("Hand-over headers survive an encode-decode round trip with the old and the new key")
{
    const std::array keys { HandOverKey("new secret"), HandOverKey("old secret") };
    for (const auto& key : keys) {
        const auto datagram = sampleDatagram(key);
        CHECK(Packet::looksLikeHandOver(datagram));
        Packet::HandOverHeader header;
        REQUIRE_FALSE(Packet::decodeHandOver(datagram, keys, header));
        CHECK(header.reason == 2);
        CHECK(header.hops == 3);
        CHECK(header.backendServer == sampleHeader.backendServer);
        CHECK(header.revision == sampleHeader.revision);
        CHECK(header.origin == sampleHeader.origin);
        CHECK(header.flowOwnerId == sampleHeader.flowOwnerId);
        CHECK(header.sender == sampleHeader.sender);
    }
}

TEST_CASE("Each kind of invalid hand-over has its own error")
{
    const std::array keys { HandOverKey("secret") };
    const auto good = sampleDatagram(keys[0]);
    CHECK(decode({}, keys) == HandOverError::Truncated);
    CHECK(decode(std::span(good).first(Packet::handOverHeaderBytes), keys) == HandOverError::Truncated);
    CHECK(decode(Tests::sampleTcp({}, 0), keys) == HandOverError::NotHandOver);
    auto datagram = good;
    datagram[0] = std::byte { 0xE2 };
    CHECK(decode(datagram, keys) == HandOverError::UnknownVersion);
    CHECK(decode(sampleDatagram(HandOverKey("unknown secret")), keys) == HandOverError::BadHash);
}

TEST_CASE("Hand-overs with any changed bit fail authentication")
{
    const std::array keys { HandOverKey("secret") };
    const auto good = sampleDatagram(keys[0]);
    for (std::size_t bit = 8; bit < good.size() * 8; ++bit) {
        auto datagram = good;
        datagram[bit / 8] ^= static_cast<std::byte>(1 << (bit % 8));
        REQUIRE(decode(datagram, keys) == HandOverError::BadHash);
    }
}
