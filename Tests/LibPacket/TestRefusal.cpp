#include "SamplePackets.h"

#include <LibPacket/ByteOrder.h>
#include <LibPacket/Checksum.h>
#include <LibPacket/Refusal.h>
#include <array>
#include <catch2/catch.hpp>

namespace {

struct Refused {
    std::array<std::byte, Packet::maximumRefusalBytes> buffer {};
    std::size_t length { 0 };

    std::span<const std::byte> bytes() const { return std::span(buffer).first(length); }
};

Refused refuse(std::span<const std::byte> bytes, Packet::RefusalMeaning meaning)
{
    Packet::Ipv4Packet packet;
    REQUIRE_FALSE(Packet::parseIpv4Packet(bytes, {}, packet));
    Refused refused;
    refused.length = Packet::buildRefusal(refused.buffer, bytes, packet, meaning);
    return refused;
}

}

TEST_CASE("The refusal of a SYN is a reset that acknowledges it")
{
    const auto refused = refuse(Tests::sampleTcp({ .syn = true }, 0, 0xFFFFFFFF), Packet::RefusalMeaning::NotRun);
    Packet::Ipv4Packet reset;
    REQUIRE_FALSE(Packet::parseIpv4Packet(refused.bytes(), {}, reset));
    CHECK(reset.flags.rst);
    CHECK(reset.flags.ack);
    CHECK(reset.sequence == 0);
    CHECK(reset.acknowledgement == 0);
    CHECK(reset.source == Tests::sampleService);
    CHECK(reset.destination == Tests::sampleCaller);
}

TEST_CASE("The refusal of a mid-flow packet is a reset with the sequence number that the packet acknowledges")
{
    const auto refused = refuse(Tests::sampleTcp({ .ack = true }, 7, 1000, 5555), Packet::RefusalMeaning::Unknown);
    Packet::Ipv4Packet reset;
    REQUIRE_FALSE(Packet::parseIpv4Packet(refused.bytes(), {}, reset));
    CHECK(reset.flags.rst);
    CHECK_FALSE(reset.flags.ack);
    CHECK(reset.sequence == 5555);
}

TEST_CASE("Resets are not refused")
{
    CHECK(refuse(Tests::sampleTcp({ .rst = true }, 0), Packet::RefusalMeaning::NotRun).length == 0);
}

TEST_CASE("The refusal of a UDP packet is an ICMP unreachable whose code shows whether the work was executed")
{
    const auto bytes = Tests::sampleUdp(20);
    const std::pair<Packet::RefusalMeaning, uint8_t> expected[] = { { Packet::RefusalMeaning::NotRun, 13 },
        { Packet::RefusalMeaning::RefusedByBackendServer, 3 }, { Packet::RefusalMeaning::Unknown, 1 } };
    for (const auto& [meaning, code] : expected) {
        const auto refused = refuse(bytes, meaning);
        REQUIRE(refused.length == 20 + 8 + 28);
        CHECK(Packet::load8(refused.buffer.data() + 9) == 1);
        CHECK(Packet::load8(refused.buffer.data() + 20) == 3);
        CHECK(Packet::load8(refused.buffer.data() + 21) == code);
        CHECK(Packet::finishChecksum(Packet::checksumSum(refused.bytes().subspan(20))) == 0);
        CHECK(std::equal(bytes.begin(), bytes.begin() + 28, refused.bytes().begin() + 28));
    }
}
