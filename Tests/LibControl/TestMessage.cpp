#include <LibBase/Random.h>
#include <LibControl/Message.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Control;

namespace {

Message makeMessage()
{
    Message message { .header
        = { .incarnation = 7, .newest = { 12 }, .confirmationAge = Base::milliseconds(40), .confirmed = { 11 } },
        .body = ChangePush { .changes = { "first", std::string("\0\x91", 2) },
            .range = { .seed = 1, .origin = 2, .begin = 3, .end = ~uint64_t { 0 } },
            .watcherDomain = 4,
            .watcherSlot = 1,
            .watcherEpoch = 9 } };
    message.header.updates.push_back({ .id = { 0x0A0000011B58 },
        .incarnation = 3,
        .refutation = 2,
        .state = MemberState::Suspect,
        .accuser = { 5 },
        .failureDomain = "brum",
        .region = "midlands",
        .dataEndpoint = { .address = { 0x0A000001 }, .port = 7001 } });
    message.header.watchers.push_back({ .domain = 1, .slot = 1, .holder = { 6 }, .epoch = 8 });
    message.header.progress.push_back(
        { .domain = 1, .revision = { 12 }, .inForce = 2, .total = 3, .missing = { { 4 } } });
    return message;
}

std::vector<std::byte> pack(const nlohmann::json& value)
{
    const auto packed = nlohmann::json::to_msgpack(value);
    const auto bytes = std::as_bytes(std::span(packed));
    return { bytes.begin(), bytes.end() };
}

}

TEST_CASE("Encoding and decoding preserve a message")
{
    const auto bytes = encodeMessage(makeMessage());
    const auto decoded = Base::capture([&] { return decodeMessage(bytes); });
    REQUIRE(decoded.isOk());
    CHECK(encodeMessage(*decoded.value) == bytes);
    const auto& update = decoded.value->header.updates.at(0);
    CHECK(update.failureDomain == "brum");
    CHECK(update.dataEndpoint.port == 7001);
    CHECK(std::get<ChangePush>(decoded.value->body).range.end == ~uint64_t { 0 });
}

TEST_CASE("Negative ages are encoded as valid ages")
{
    Message message { .header = { .incarnation = 1 }, .body = Gossip {} };
    message.header.contacts.push_back({ .domain = 1, .age = Base::milliseconds(-500) });
    CHECK(Base::capture([&] { return decodeMessage(encodeMessage(message)); }).isOk());
}

TEST_CASE("Unknown fields and newer versions are accepted; missing fields, unknown kinds and non-maps are rejected")
{
    CHECK(Base::capture([&] {
        return decodeMessage(pack({ { "v", 2 }, { "k", 3 }, { "I", 1 }, { "new", { 1, 2 } } }));
    }).isOk());
    CHECK_FALSE(Base::capture([&] { return decodeMessage(pack({ { "v", 1 }, { "k", 0 }, { "I", 1 } })); }).isOk());
    CHECK_FALSE(Base::capture([&] { return decodeMessage(pack({ { "v", 1 }, { "k", 99 }, { "I", 1 } })); }).isOk());
    CHECK_FALSE(Base::capture([&] { return decodeMessage(pack(nlohmann::json::array())); }).isOk());
}

TEST_CASE("Oversized and deeply nested messages are rejected")
{
    const std::vector<std::byte> oversized(maximumMessageBytes + 1);
    CHECK(Base::capture([&] { return decodeMessage(oversized); }).error.code == Base::ErrorCode::TooLarge);
    const std::vector<std::byte> deeplyNested(maximumMessageBytes, std::byte { 0x91 });
    CHECK(Base::capture([&] { return decodeMessage(deeplyNested); }).error.code == Base::ErrorCode::Malformed);
}

TEST_CASE("Corrupted messages are rejected or decode to an encodable message")
{
    Base::Random random(1);
    const auto bytes = encodeMessage(makeMessage());
    for (int round = 0; round < 20'000; ++round) {
        auto corrupted = bytes;
        for (uint64_t count = 1 + random.below(4); count > 0; --count)
            corrupted[random.below(corrupted.size())] = static_cast<std::byte>(random.below(256));
        if (random.chance(0.3))
            corrupted.resize(random.below(corrupted.size()));
        const auto decoded = Base::capture([&] { return decodeMessage(corrupted); });
        if (decoded.isOk())
            CHECK_FALSE(encodeMessage(*decoded.value).empty());
    }
}
