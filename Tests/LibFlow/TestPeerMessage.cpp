#include <LibBase/Random.h>
#include <LibFlow/Process/PeerMessage.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Flow;

namespace {

std::vector<std::byte> pack(const nlohmann::json& document)
{
    std::vector<std::byte> bytes;
    for (uint8_t byte : nlohmann::json::to_msgpack(document))
        bytes.push_back(std::byte { byte });
    return bytes;
}

Base::Outcome<PeerMessage> decode(const std::vector<std::byte>& bytes)
{
    return Base::capture([&] { return PeerMessage::decode(bytes); });
}

}

TEST_CASE("Peer messages are unchanged by encoding and decoding, and unknown keys are skipped", "[peer-message]")
{
    PeerMessage message { .kind = ControlKind::Exceptions, .incarnation = 77, .values = { 1, 300, 5'000'000'000 } };
    auto decoded = decode(message.encode());
    REQUIRE(decoded.isOk());
    CHECK(decoded.value->kind == ControlKind::Exceptions);
    CHECK(decoded.value->incarnation == 77);
    CHECK(decoded.value->values == message.values);
    auto newer = decode(pack({ { "v", 1 }, { "k", 0 }, { "i", 1 }, { "e", { 4 } }, { "new", { { "x", { 1, 2 } } } } }));
    REQUIRE(newer.isOk());
    CHECK(newer.value->values == std::vector<uint64_t> { 4 });
}

TEST_CASE("Decoding an invalid peer message returns the matching error", "[peer-message]")
{
    CHECK(decode(std::vector<std::byte>(PeerMessage::maximumSize + 1)).error.code == Base::ErrorCode::TooLarge);
    CHECK(decode({}).error.code == Base::ErrorCode::Malformed);
    CHECK(decode(std::vector<std::byte>(5000, std::byte { 0x91 })).error.code == Base::ErrorCode::Malformed);
    CHECK(decode(pack({ { "v", 2 }, { "k", 0 } })).error.code == Base::ErrorCode::OutOfRange);
    CHECK(decode(pack({ { "v", 1 }, { "k", 99 } })).error.code == Base::ErrorCode::Malformed);
}

TEST_CASE("Decoding random bytes always returns a message or an error", "[peer-message]")
{
    Base::Random random(5);
    for (int round = 0; round < 2000; ++round) {
        std::vector<std::byte> bytes(random.below(64));
        for (auto& byte : bytes)
            byte = std::byte { static_cast<uint8_t>(random.next()) };
        decode(bytes);
    }
}
