/// Passes corrupted input to the decoders, which must return an error or a value that can be encoded again.

#include <LibBase/Random.h>
#include <LibConfiguration/Samples.h>
#include <catch2/catch.hpp>

using namespace Configuration;

namespace {

std::string corrupted(std::string bytes, Base::Random& random)
{
    const auto changes = 1 + random.below(4);
    for (uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
        const auto position = random.below(bytes.size());
        switch (random.below(4)) {
        case 0:
            bytes[position] = static_cast<char>(random.next());
            break;
        case 1:
            bytes.resize(position);
            break;
        case 2:
            bytes.insert(position, 1, static_cast<char>(random.next()));
            break;
        default:
            bytes.erase(position, 1);
        }
    }
    return bytes;
}

}

TEST_CASE("Corrupted changes, manifests and snapshot parts are refused or decode to a value that can be encoded again")
{
    constexpr int rounds = 4000;
    const auto snapshot = applied(sampleSnapshot(), Protect { { .path = "service/rota" } });
    const auto change = encodeChange(nextChange(snapshot, PutService { sampleService("rota", 3) }));
    const auto manifest = encodeManifest({ { 7 }, 2, { 3 }, 1, { 0 } });
    const auto parts = encodeSnapshot(snapshot, 300);
    Base::Random random(20);
    for (int i = 0; i < rounds; ++i) {
        const auto decodedChange = Base::capture([&] { return decodeChange(corrupted(change, random)); });
        if (decodedChange.isOk())
            CHECK(Base::capture([&] { return decodeChange(encodeChange(*decodedChange.value)); }).isOk());
        else
            CHECK((decodedChange.error.code == Base::ErrorCode::Malformed
                || decodedChange.error.code == Base::ErrorCode::TooLarge));
        const auto decodedManifest = Base::capture([&] { return decodeManifest(corrupted(manifest, random)); });
        if (!decodedManifest.isOk())
            CHECK(decodedManifest.error.code == Base::ErrorCode::Malformed);
        auto corruptedParts = parts;
        auto& part = corruptedParts[random.below(parts.size())];
        part = corrupted(part, random);
        const auto decodedSnapshot = Base::capture([&] { return decodeSnapshot(corruptedParts); });
        if (!decodedSnapshot.isOk())
            CHECK(decodedSnapshot.error.code == Base::ErrorCode::Malformed);
    }
}

TEST_CASE("Manifests are unchanged by encoding and decoding")
{
    const SnapshotManifest manifest { { 700 }, 3, { 300 }, 2, { 44 } };
    CHECK(*Base::capture([&] { return decodeManifest(encodeManifest(manifest)); }).value == manifest);
}
