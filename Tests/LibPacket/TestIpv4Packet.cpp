#include "SamplePackets.h"

#include <LibBase/Random.h>
#include <LibPacket/ByteOrder.h>
#include <LibPacket/Checksum.h>
#include <LibPacket/Ipv4Packet.h>
#include <catch2/catch.hpp>

using Packet::PacketError;

namespace {

std::optional<PacketError> parse(std::span<const std::byte> bytes, bool verify = true)
{
    Packet::Ipv4Packet packet;
    return Packet::parseIpv4Packet(bytes, { .verifyTransportChecksum = verify }, packet);
}

/// Sets one byte of the IPv4 header and updates the header checksum.
std::vector<std::byte> withHeaderByte(std::vector<std::byte> bytes, std::size_t offset, uint8_t value)
{
    Packet::store8(bytes.data() + offset, value);
    Packet::store16(bytes.data() + 10, 0);
    const auto header = std::span(bytes).first(20);
    Packet::store16(bytes.data() + 10, Packet::finishChecksum(Packet::checksumSum(header)));
    return bytes;
}

}

TEST_CASE("TCP packets are parsed, and their flow key is in the direction from caller to service")
{
    const auto bytes = Tests::sampleTcp({ .syn = true }, 3);
    Packet::Ipv4Packet packet;
    REQUIRE_FALSE(Packet::parseIpv4Packet(bytes, {}, packet));
    CHECK(packet.sequence == 1000);
    const auto summary = Packet::summarize(packet, Packet::Direction::ToBackendServer);
    CHECK(summary.key.caller == Tests::sampleCaller);
    CHECK(summary.key.service == Tests::sampleService);
    CHECK(summary.flags.syn);
    CHECK(summary.payloadLength == 3);
    const auto response = Packet::summarize(packet, Packet::Direction::ToCaller);
    CHECK(response.key.caller == Tests::sampleService);
}

TEST_CASE("UDP packets are parsed; a checksum of zero is not verified")
{
    auto bytes = Tests::sampleUdp(9);
    CHECK_FALSE(parse(bytes));
    Packet::store16(bytes.data() + 26, 0);
    CHECK_FALSE(parse(bytes));
    Packet::store16(bytes.data() + 26, 1);
    CHECK(parse(bytes) == PacketError::BadTransportChecksum);
    CHECK_FALSE(parse(bytes, false));
}

TEST_CASE("Each kind of invalid packet has its own error")
{
    const auto good = Tests::sampleTcp({ .ack = true }, 10);
    REQUIRE_FALSE(parse(good));
    CHECK(parse({}) == PacketError::Truncated);
    CHECK(parse(std::span(good).first(19)) == PacketError::Truncated);
    CHECK(parse(std::span(good).first(good.size() - 1)) == PacketError::Truncated);
    CHECK(parse(withHeaderByte(good, 0, 0x65)) == PacketError::NotIpv4);
    CHECK(parse(withHeaderByte(good, 0, 0x44)) == PacketError::BadHeaderLength);
    CHECK(parse(withHeaderByte(good, 3, 19)) == PacketError::BadTotalLength);
    CHECK(parse(withHeaderByte(good, 6, 0x20)) == PacketError::Fragment);
    CHECK(parse(withHeaderByte(good, 7, 0x01)) == PacketError::Fragment);
    CHECK(parse(withHeaderByte(good, 8, 0)) == PacketError::ZeroTimeToLive);
    CHECK(parse(withHeaderByte(good, 9, 1)) == PacketError::UnknownProtocol);
    CHECK(parse(withHeaderByte(good, 3, 39)) == PacketError::TruncatedTransport);

    auto bytes = good;
    Packet::store8(bytes.data() + 8, 3);
    CHECK(parse(bytes) == PacketError::BadHeaderChecksum);
    bytes = good;
    Packet::store8(bytes.data() + 32, 0x40);
    CHECK(parse(bytes) == PacketError::BadTransportLength);
    Packet::store8(bytes.data() + 32, 0xF0);
    CHECK(parse(bytes) == PacketError::BadTransportLength);
    bytes = good;
    bytes.back() = std::byte { 0 };
    CHECK(parse(bytes) == PacketError::BadTransportChecksum);
    bytes = good;
    Packet::store16(bytes.data() + 20, 0);
    CHECK(parse(bytes) == PacketError::ZeroPort);
    auto datagram = Tests::sampleUdp(4);
    Packet::store16(datagram.data() + 24, 11);
    CHECK(parse(datagram) == PacketError::BadTransportLength);
}

TEST_CASE("Bytes beyond the total length are ignored")
{
    auto bytes = Tests::sampleTcp({ .ack = true }, 10);
    bytes.resize(bytes.size() + 5);
    CHECK_FALSE(parse(bytes));
}

TEST_CASE("Mutated packets are parsed without exceeding their bounds")
{
    Base::Random random(7);
    const std::vector<std::vector<std::byte>> samples { Tests::sampleTcp({ .syn = true }, 0),
        Tests::sampleTcp({ .ack = true }, 40), Tests::sampleUdp(0), Tests::sampleUdp(33) };
    for (int round = 0; round < 50'000; ++round) {
        auto bytes = samples[random.below(samples.size())];
        for (uint64_t change = random.below(4); change > 0; --change)
            bytes[random.below(std::min<std::size_t>(bytes.size(), 40))] = static_cast<std::byte>(random.next());
        bytes.resize(random.below(bytes.size() + 1));
        const std::vector<std::byte> exact(bytes);
        Packet::Ipv4Packet packet;
        if (Packet::parseIpv4Packet(exact, { .verifyTransportChecksum = random.chance(0.5) }, packet))
            continue;
        REQUIRE(packet.totalLength <= exact.size());
        REQUIRE(packet.payloadOffset + packet.payloadLength == packet.totalLength);
        REQUIRE(packet.payloadOffset > packet.transportOffset);
    }
}
