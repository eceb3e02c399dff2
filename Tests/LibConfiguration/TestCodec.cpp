#include <LibConfiguration/Msgpack.h>
#include <LibConfiguration/Samples.h>
#include <LibStore/Store.h>
#include <catch2/catch.hpp>

using namespace Configuration;

namespace {

std::vector<Operation> everyOperation()
{
    Protection protection { .path = "service/rota/backend-server/rota-1/weight", .reason = "hot", .author = "ada" };
    protection.expiresAt = Base::WallTime(Base::seconds(9999));
    return { PutService { sampleService() }, RemoveService { "rota" },
        PutBackendServer { "rota", sampleBackendServer(3) }, RemoveBackendServer { "rota", "rota-1" },
        PutFailureDomain { sampleDomain() }, RemoveFailureDomain { "brum" }, Protect { protection },
        Unprotect { protection.path } };
}

}

TEST_CASE("Changes of every operation kind are unchanged by encoding and decoding")
{
    for (const auto& operation : everyOperation()) {
        auto change = nextChange(sampleSnapshot(), operation);
        change.overrides = { "domain/brum" };
        const auto bytes = encodeChange(change);
        auto decoded = Base::capture([&] { return decodeChange(bytes); });
        REQUIRE(decoded.isOk());
        CHECK(encodeChange(*decoded.value) == bytes);
        CHECK(decoded.value->requestId == change.requestId);
        CHECK(decoded.value->operation.index() == operation.index());
    }
}

TEST_CASE("Snapshots are decoded from parts of any size and order")
{
    auto snapshot = applied(sampleSnapshot(), PutService { sampleService("large", 500, 2) });
    snapshot = applied(snapshot, Protect { { .path = "service/rota" } });
    snapshot = applied(snapshot, RemoveService { "large" });
    snapshot = applied(snapshot, PutService { sampleService("sheets", 300, 3) });
    for (std::size_t partBytes : { 1000U, 6000U, 1'000'000U }) {
        auto parts = encodeSnapshot(snapshot, partBytes);
        std::reverse(parts.begin(), parts.end());
        auto decoded = Base::capture([&] { return decodeSnapshot(parts); });
        REQUIRE(decoded.isOk());
        CHECK(*decoded.value == snapshot);
        if (parts.size() > 1) {
            parts.pop_back();
            CHECK(Base::captureError([&] { return decodeSnapshot(parts); })->code == Base::ErrorCode::Malformed);
        }
    }
}

TEST_CASE("Unknown trailing fields of a change are ignored")
{
    const auto change = nextChange(sampleSnapshot(), RemoveService { "rota" });
    auto outcome = Base::capture([&] { return decodeMsgpack(encodeChange(change), Store::maximumValueBytes); });
    REQUIRE(outcome.isOk());
    outcome.value->push_back("a field of a later version");
    CHECK(Base::capture([&] { return decodeChange(encodeMsgpack(*outcome.value)); }).isOk());
}

TEST_CASE("Deeply nested and oversized input is refused before a value is built")
{
    const std::string nested(500'000, '\x91');
    CHECK(Base::captureError([&] { return decodeChange(nested); })->code == Base::ErrorCode::Malformed);
    const std::string large(Store::maximumValueBytes + 1, '\x01');
    CHECK(Base::captureError([&] { return decodeChange(large); })->code == Base::ErrorCode::TooLarge);
}
