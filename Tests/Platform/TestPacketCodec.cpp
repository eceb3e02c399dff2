#include <LibBase/Random.h>
#include <catch2/catch.hpp>
#include <platform/PacketCodec.h>
#include <vector>

namespace {

std::vector<std::byte> bytesOf(std::initializer_list<int> values)
{
    std::vector<std::byte> bytes;
    for (const int value : values)
        bytes.push_back(static_cast<std::byte>(value));
    return bytes;
}

std::vector<std::byte> sample()
{
    return bytesOf({ 0x11, 0x22, 0x33, 0x44, 0, 0, 0, 0, 0, 0, 0, 0, 0xa1, 0xb2, 0xc3, 0xd5, 2, 0, 0, 0, 1, 0xbb, 0xc6,
        0x12, 0, 1, 0x64, 0x40, 0, 7, 0x9c, 0x41 });
}

}

TEST_CASE("a first packet is decoded")
{
    const auto view = Platform::decodePacket(sample());
    REQUIRE(view);
    CHECK(view->flow.caller.toString() == "100.64.0.7:40001");
    CHECK(view->flow.service.toString() == "198.18.0.1:443");
    CHECK(view->opensFlow);
    CHECK_FALSE(view->acknowledges);
    CHECK(view->sequence == 0x11223344);
}

TEST_CASE("a reset to the caller carries no data and no checksum")
{
    const auto reset = Platform::encodeReset(*Platform::decodePacket(sample()));
    const auto expected = bytesOf({ 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x10, 0, 0, 0, 0x9c, 0x41, 0x64,
        0x40, 0, 7, 0xc6, 0x12, 0, 1, 1, 0xbb });
    CHECK(std::equal(reset.begin(), reset.end(), expected.begin(), expected.end()));
}

TEST_CASE("a reset of an open flow has the sequence number that the caller has acknowledged")
{
    auto packet = *Platform::decodePacket(sample());
    packet.opensFlow = false;
    packet.acknowledged = 0x01020304;
    const auto reset = Platform::encodeReset(packet);
    const auto expected = bytesOf({ 1, 2, 3, 4 });
    CHECK(std::equal(expected.begin(), expected.end(), reset.begin()));
}

TEST_CASE("the token and the server's number are written in network byte order")
{
    auto packet = sample();
    Platform::writeToken(packet, { 0x01020304 });
    CHECK(Platform::decodePacket(packet)->token.value == 0x01020304);
    std::array<std::byte, Platform::serverNumberBytes> number {};
    Platform::writeServerNumber(number, { 0xAB });
    CHECK(number.back() == std::byte { 0xAB });
}

TEST_CASE("datagrams that are not valid packets are rejected")
{
    CHECK_FALSE(Platform::decodePacket({}));
    auto packet = sample();
    packet.pop_back();
    CHECK_FALSE(Platform::decodePacket(packet));
    packet = sample();
    packet[19] = std::byte { 5 };
    CHECK_FALSE(Platform::decodePacket(packet));
    packet.resize(37);
    CHECK(Platform::decodePacket(packet)->dataBytes == 5);
    Base::Random random(1);
    for (int round = 0; round < 20'000; ++round) {
        std::vector<std::byte> noise(random.below(80));
        for (auto& byte : noise)
            byte = static_cast<std::byte>(random.below(256));
        Platform::decodePacket(noise);
    }
}
