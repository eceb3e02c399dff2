#include <LibBase/Random.h>
#include <LibPeer/Frame.h>
#include <LibPeer/MsgpackReader.h>
#include <LibPeer/NodeStatus.h>
#include <LibPeer/ProbeExchange.h>
#include <catch2/catch.hpp>

namespace {

template <typename Decode>
void checkMutations(const std::vector<std::byte>& sample, Decode decode)
{
    Base::Random random(11);
    for (int round = 0; round < 5'000; ++round) {
        auto bytes = sample;
        for (uint64_t change = 1 + random.below(4); change > 0; --change)
            bytes[random.below(bytes.size())] = static_cast<std::byte>(random.next());
        if (random.chance(0.3))
            bytes.resize(random.below(bytes.size() + 1));
        const auto error = Base::captureError([&]() -> Base::ErrorOr<void> {
            TRY(decode(bytes));
            return {};
        });
        if (error)
            REQUIRE(error->code == Base::ErrorCode::Malformed);
    }
}

}

TEST_CASE("Envelopes survive an encode-decode round trip")
{
    const Peer::Envelope envelope { .channel = Peer::Channel::Probe,
        .sender = { ~0ULL },
        .incarnation = 5,
        .sequence = 6,
        .replyTo = 7,
        .payload = { std::byte { 1 }, std::byte { 2 } } };
    const auto decoded = Base::capture([&] { return Peer::decodeEnvelope(Peer::encodeEnvelope(envelope)); });
    REQUIRE(decoded.isOk());
    CHECK(decoded.value->channel == envelope.channel);
    CHECK(decoded.value->sender == envelope.sender);
    CHECK(decoded.value->sequence == 6);
    CHECK(decoded.value->replyTo == 7);
    CHECK(decoded.value->payload == envelope.payload);
}

TEST_CASE("Envelopes with unknown fields are accepted; unknown versions and channels are rejected")
{
    const auto bytes = Peer::encodeEnvelope({});
    auto object = *Base::capture([&] { return Peer::readMsgpack(bytes); }).value;
    object["new_field"] = 3;
    CHECK(Base::capture([&] { return Peer::decodeEnvelope(Peer::writeMsgpack(object)); }).isOk());
    object["channel"] = 99;
    CHECK_FALSE(Base::capture([&] { return Peer::decodeEnvelope(Peer::writeMsgpack(object)); }).isOk());
    object["channel"] = 1;
    object["version"] = 2;
    CHECK_FALSE(Base::capture([&] { return Peer::decodeEnvelope(Peer::writeMsgpack(object)); }).isOk());
}

TEST_CASE("Deeply nested msgpack is rejected before it exhausts the stack")
{
    const std::vector<std::byte> nested(200'000, std::byte { 0x91 });
    const auto error = Base::captureError([&]() -> Base::ErrorOr<void> {
        TRY(Peer::readMsgpack(nested));
        return {};
    });
    REQUIRE(error);
    CHECK(error->code == Base::ErrorCode::Malformed);
}

TEST_CASE("Mutated messages are either decoded or rejected as malformed")
{
    checkMutations(Peer::encodeEnvelope({ .sender = { 1 }, .payload = std::vector<std::byte>(20) }),
        [](const auto& bytes) { return Peer::decodeEnvelope(bytes); });
    checkMutations(Peer::encodeNodeStatus({ .self = { 1 }, .missing = { { 2 } }, .figures = { { "flows", 1 } } }),
        [](const auto& bytes) { return Peer::decodeNodeStatus(bytes); });
    checkMutations(Peer::encodeProbeReports({ { .backendServer = { 3 } }, { .backendServer = { 4 } } }),
        [](const auto& bytes) { return Peer::decodeProbeReports(bytes); });
    checkMutations(Peer::encodeProbeTargets({ { .backendServer = { 3 } } }),
        [](const auto& bytes) { return Peer::decodeProbeTargets(bytes); });
}

TEST_CASE("Frames with any changed byte fail authentication")
{
    const auto authenticator
        = *Base::capture([] { return Peer::Authenticator::create({ "a key of sixteen bytes" }); }).value;
    const auto frame = Peer::encodeFrame({ .sender = { 1 }, .payload = std::vector<std::byte>(8) }, authenticator);
    for (std::size_t index = Peer::frameLengthBytes; index < frame.size(); ++index) {
        auto changed = frame;
        changed[index] ^= std::byte { 1 };
        const auto opened = Base::capture(
            [&] { return Peer::decodeFrame(std::span(changed).subspan(Peer::frameLengthBytes), authenticator); });
        REQUIRE(opened.error.code == Base::ErrorCode::Unauthenticated);
    }
}

TEST_CASE("Empty key lists, short keys and more than two keys are rejected")
{
    const auto isOk = [](std::vector<std::string> keys) {
        return Base::capture([&] { return Peer::Authenticator::create(std::move(keys)); }).isOk();
    };
    const std::string key = "a key of sixteen bytes";
    CHECK(isOk({ key }));
    CHECK(isOk({ key, key }));
    CHECK_FALSE(isOk({}));
    CHECK_FALSE(isOk({ "short" }));
    CHECK_FALSE(isOk({ key, key, key }));
}
