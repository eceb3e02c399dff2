#include <LibBase/Random.h>
#include <LibMirror/Compression.h>
#include <LibMirror/Mirror.h>
#include <LibMirror/RelayMessage.h>
#include <catch2/catch.hpp>
#include <map>

using Mirror::ChangeBatch;
using Mirror::Record;

namespace {

Record put(const std::string& key, uint64_t revision, const std::string& value = "x")
{
    return { .key = key, .revision = revision, .value = value };
}

Record deletion(const std::string& key, uint64_t revision)
{
    return { .key = key, .revision = revision, .value = {}, .isDeletion = true };
}

}

TEST_CASE("a complete batch and later changes are applied")
{
    Mirror::Mirror mirror;
    CHECK_FALSE(mirror.isSynchronized());
    CHECK(mirror.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3), put("b", 9) } }).size() == 2);
    CHECK(mirror.isSynchronized());
    CHECK(mirror.position().revision == 10);
    const auto changed = mirror.apply({ .after = 10, .upTo = 12, .records = { put("a", 11, "y"), deletion("b", 12) } });
    REQUIRE(changed.size() == 2);
    CHECK(changed[0].value == "y");
    CHECK(changed[1].isDeletion);
    CHECK(mirror.size() == 1);
}

TEST_CASE("outdated batches and batches that leave a gap are ignored")
{
    Mirror::Mirror mirror;
    mirror.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3) } });
    CHECK(mirror.apply({ .upTo = 9, .isComplete = true, .records = { put("c", 2) } }).empty());
    CHECK(mirror.apply({ .after = 5, .upTo = 8, .records = { put("d", 7) } }).empty());
    CHECK(mirror.apply({ .after = 15, .upTo = 18, .records = { put("d", 17) } }).empty());
    CHECK(mirror.position().revision == 10);
}

TEST_CASE("applying a batch twice returns no changes the second time")
{
    Mirror::Mirror mirror;
    mirror.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3) } });
    const ChangeBatch batch { .after = 10, .upTo = 11, .records = { put("a", 11) } };
    CHECK(mirror.apply(batch).size() == 1);
    CHECK(mirror.apply(batch).empty());
}

TEST_CASE("a complete batch yields deletions for missing keys")
{
    Mirror::Mirror mirror;
    mirror.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3), put("b", 4) } });
    const auto changed = mirror.apply({ .upTo = 20, .isComplete = true, .records = { put("b", 4), put("c", 15) } });
    REQUIRE(changed.size() == 2);
    CHECK(changed[0].key == "c");
    CHECK(changed[1] == deletion("a", 20));
}

TEST_CASE("a key written and deleted within one batch is absent, also at peers")
{
    const std::string key = GENERATE("op/evacuate/brum", "servers/7f3a", "entry/10.1.0.10:7720");
    Mirror::Mirror mirror;
    mirror.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3) } });
    Mirror::Mirror peer;
    // The peer saw the write alone.
    peer.apply({ .upTo = 11, .isComplete = true, .records = { put("a", 3), put(key, 11) } });
    const auto changed = mirror.apply({ .after = 10, .upTo = 12, .records = { put(key, 11), deletion(key, 12) } });
    REQUIRE(changed.size() == 2);
    CHECK_FALSE(changed[0].isDeletion);
    CHECK(changed[1] == deletion(key, 12));
    CHECK(mirror.size() == 1);
    peer.apply(mirror.changesAfter(peer.position(), 1000));
    CHECK(peer.size() == 1);
    Mirror::Mirror newcomer;
    newcomer.apply(mirror.changesAfter({}, 1000));
    CHECK(newcomer.size() == 1);
}

TEST_CASE("a key deleted and written again within one batch keeps the last value")
{
    Mirror::Mirror mirror;
    mirror.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3) } });
    mirror.apply({ .after = 10, .upTo = 13, .records = { deletion("a", 11), put("a", 12, "y"), put("b", 13) } });
    const auto all = mirror.changesAfter({}, 1000);
    CHECK(all.records == std::vector<Record> { put("a", 12, "y"), put("b", 13) });
}

TEST_CASE("the deletion of an unknown key reaches a peer that still has the key, and the key does not come back")
{
    Mirror::Mirror mirror;
    mirror.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3) } });
    Mirror::Mirror peer;
    peer.apply({ .upTo = 11, .isComplete = true, .records = { put("a", 3), put("b", 11) } });
    // A watch that starts late returns the deletion only.
    CHECK(mirror.apply({ .after = 10, .upTo = 12, .records = { deletion("b", 12) } }).empty());
    peer.apply(mirror.changesAfter(peer.position(), 1000));
    CHECK(peer.size() == 1);
    // A third one that missed the deletion offers its complete state.
    mirror.apply({ .upTo = 12, .isComplete = true, .records = { put("a", 3), put("b", 11) } });
    CHECK(mirror.size() == 1);
}

TEST_CASE("a peer older than a complete batch gets the complete state, also after many later deletions")
{
    // Just as many as are kept, and more.
    const uint64_t deletionCount = GENERATE(4096U, 5000U);
    Mirror::Mirror mirror;
    mirror.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3), put("b", 4) } });
    mirror.apply({ .after = 10, .upTo = 11, .records = { deletion("b", 11) } });
    // The key "gone" was written and deleted while the store could not be watched.
    Mirror::Mirror peer;
    peer.apply({ .upTo = 15, .isComplete = true, .records = { put("a", 3), put("gone", 15) } });
    mirror.apply({ .upTo = 20, .isComplete = true, .records = { put("a", 3) } });
    ChangeBatch deletions { .after = 20, .upTo = 20 + deletionCount };
    for (uint64_t index = 1; index <= deletionCount; ++index)
        deletions.records.push_back(deletion("key" + std::to_string(index), 20 + index));
    mirror.apply(deletions);
    peer.apply(mirror.changesAfter(peer.position(), 1'000'000));
    CHECK(peer.position().revision == mirror.position().revision);
    CHECK(peer.size() == 1);
}

TEST_CASE("after the store's history is gone, a peer between the two states gets the complete state")
{
    Mirror::Mirror mirror;
    mirror.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3) } });
    Mirror::Mirror peer;
    peer.apply({ .upTo = 15, .isComplete = true, .records = { put("a", 3), put("b", 14) } });
    // "b" was written at 14 and deleted before 20; the mirror saw neither.
    mirror.apply({ .upTo = 20, .isComplete = true, .records = { put("a", 3) } });
    peer.apply(mirror.changesAfter(peer.position(), 1000));
    CHECK(peer.position().revision == 20);
    CHECK(peer.size() == 1);
}

TEST_CASE("a mirror fed from another mirror reaches the state of the store, however far it was behind")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        Base::Random random(seed);
        std::map<std::string, Record> store;
        Mirror::Mirror first;
        Mirror::Mirror second;
        first.apply({ .upTo = 1, .isComplete = true });
        uint64_t revision = 1;
        for (int step = 0; step < 300; ++step) {
            const auto after = revision;
            ChangeBatch batch { .after = after };
            for (uint64_t change = 0; change <= random.below(4); ++change) {
                const auto key = "key" + std::to_string(random.below(12));
                if (store.contains(key) && random.chance(0.4)) {
                    store.erase(key);
                    batch.records.push_back(deletion(key, ++revision));
                } else {
                    ++revision;
                    store[key] = put(key, revision, std::to_string(revision));
                    batch.records.push_back(store[key]);
                }
            }
            batch.upTo = revision;
            first.apply(batch);
            REQUIRE(first.size() == store.size());
            if (random.chance(0.1)) {
                // The requesting mirror may be empty or far behind; 8 bytes a batch split the response into many parts.
                for (;;) {
                    const auto part
                        = first.changesAfter(second.isSynchronized() ? second.position() : Base::StorePosition {}, 8);
                    second.apply(part);
                    if (!part.hasMore)
                        break;
                }
                REQUIRE(second.position().revision == first.position().revision);
                REQUIRE(second.size() == store.size());
            }
        }
        const auto all = second.changesAfter({}, 1'000'000);
        for (const auto& record : all.records) {
            if (!record.isDeletion && record.revision <= second.position().revision
                && second.position().revision == revision)
                REQUIRE(store.at(record.key) == record);
        }
    }
}

TEST_CASE("batches and relay requests survive encoding and decoding")
{
    const ChangeBatch batch { .era = 4,
        .after = 3,
        .upTo = 9,
        .isComplete = false,
        .hasMore = true,
        .records = { put("a", 4, std::string("\0\xff", 2)), deletion("b", 9) } };
    const auto read = Base::capture([&] { return Mirror::decodeBatch(Mirror::encodeBatch(batch)); });
    REQUIRE(read.isOk());
    CHECK(read.value->records == batch.records);
    CHECK(read.value->hasMore);
    CHECK(read.value->era == 4);
    CHECK(read.value->after == 3);
    CHECK(read.value->upTo == 9);
    const auto request = Base::capture([&] {
        return Mirror::decodeRelayRequest(Mirror::encodeRelayRequest({ .after = { .era = 4, .revision = 12 } }));
    });
    REQUIRE(request.isOk());
    CHECK(request.value->after == Base::StorePosition { .era = 4, .revision = 12 });
}

TEST_CASE("decoding corrupted messages fails cleanly or succeeds")
{
    Base::Random random(5);
    const auto bytes = Mirror::encodeBatch({ .after = 3, .upTo = 9, .records = { put("a", 4), deletion("b", 9) } });
    for (int round = 0; round < 5000; ++round) {
        auto damaged = bytes;
        for (uint64_t changes = 1 + random.below(3); changes > 0; --changes)
            damaged[random.below(damaged.size())] = static_cast<std::byte>(random.below(256));
        damaged.resize(1 + random.below(damaged.size()));
        Base::capture([&] { return Mirror::decodeBatch(damaged); });
        Base::capture([&] { return Mirror::decodeRelayRequest(damaged); });
    }
}

TEST_CASE("a large configuration is compressed to a fraction of its size and restored unchanged")
{
    std::string configuration;
    for (int route = 0; route < 1400; ++route) {
        configuration += R"({"name":"r-)" + std::to_string(route * 7919 % 100'003) + R"(","host":"198.18.0.)"
            + std::to_string(route % 250) + R"(","prefix":"/8443/","route_type":"safe","timeout_ms":1500},)";
    }
    const ChangeBatch batch { .after = 3, .upTo = 9, .records = { put("op/config", 9, configuration) } };
    const auto bytes = Mirror::encodeBatch(batch);
    // Eight entry VMs fetch it over one link of 10 Mbit/s within 0.5 s, so each response may have 78 kB.
    CHECK(bytes.size() < 78'000);
    const auto read = Base::capture([&] { return Mirror::decodeBatch(bytes); });
    REQUIRE(read.isOk());
    CHECK(read.value->records == batch.records);
    CHECK_FALSE(
        Base::capture([&] { return Mirror::decompress(Mirror::compress(std::vector<std::byte>(5000)), 4999); }).isOk());
}
