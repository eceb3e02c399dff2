// A store that comes back from a copy gives out its revisions again.

#include <LibBase/Random.h>
#include <LibMirror/Mirror.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>

using Mirror::ChangeBatch;
using Mirror::Record;

namespace {

Record put(const std::string& key, uint64_t revision, const std::string& value = "x")
{
    return { .key = key, .revision = revision, .value = value };
}

Mirror::Mirror mirrorOfFirstEra()
{
    Mirror::Mirror mirror;
    mirror.apply({ .era = 1,
        .upTo = 27,
        .isComplete = true,
        .records = { put("kept", 3), put("added", 20), put("changed", 27, "new") } });
    return mirror;
}

/// The records of a store, without deletions.
using State = std::map<std::string, std::string>;

State stateOf(const Mirror::Mirror& mirror)
{
    State state;
    for (const auto& record : mirror.changesAfter({}, 1'000'000).records)
        state[record.key] = record.value;
    return state;
}

/// A store that can return to a copy, with its whole history.
class ModelStore {
public:
    void change(const std::string& key, const std::optional<std::string>& value)
    {
        ++state_.revision;
        state_.history.push_back(
            { .key = key, .revision = state_.revision, .value = value.value_or(""), .isDeletion = !value });
    }

    void keepCopy() { copy_ = state_; }
    void restoreCopy()
    {
        state_ = copy_;
        ++era_;
    }

    ChangeBatch complete() const
    {
        std::map<std::string, Record> newest;
        for (const auto& record : state_.history)
            newest[record.key] = record;
        ChangeBatch batch { .era = era_, .upTo = state_.revision, .isComplete = true };
        for (const auto& [key, record] : newest) {
            if (!record.isDeletion)
                batch.records.push_back(record);
        }
        return batch;
    }

    /// The answer to a watch; nothing if the store does not have the revision.
    std::optional<ChangeBatch> changesAfter(uint64_t revision) const
    {
        if (revision > state_.revision)
            return std::nullopt;
        ChangeBatch batch { .era = era_, .after = revision, .upTo = state_.revision };
        std::ranges::copy_if(state_.history, std::back_inserter(batch.records),
            [&](const Record& record) { return record.revision > revision; });
        return batch;
    }

private:
    struct Content {
        std::vector<Record> history;
        uint64_t revision { 1 };
    };

    Content state_;
    Content copy_;
    uint64_t era_ { 1 };
};

}

// Guards against a restored state that is ignored because its revision is lower than the known one.
TEST_CASE("the complete state of a new era replaces the known one although its revision is lower")
{
    auto mirror = mirrorOfFirstEra();
    const auto changed = mirror.apply(
        { .era = 2, .upTo = 25, .isComplete = true, .records = { put("kept", 3), put("changed", 5, "old") } });
    REQUIRE(changed.size() == 2);
    CHECK(changed[0] == put("changed", 5, "old"));
    CHECK(changed[1].key == "added");
    CHECK(changed[1].isDeletion);
    CHECK(mirror.position() == Base::StorePosition { .era = 2, .revision = 25 });
    CHECK(stateOf(mirror) == State { { "kept", "x" }, { "changed", "old" } });
}

// Guards against a change that is skipped because its revision was given out before, for another change.
TEST_CASE("a change under a revision of the era before is applied")
{
    auto mirror = mirrorOfFirstEra();
    mirror.apply(
        { .era = 2, .upTo = 26, .isComplete = true, .records = { put("kept", 3), put("changed", 26, "new") } });
    const auto changed
        = mirror.apply({ .era = 2, .after = 26, .upTo = 27, .records = { put("changed", 27, "newer") } });
    REQUIRE(changed.size() == 1);
    CHECK(changed[0].value == "newer");
}

TEST_CASE("changes of a new era are ignored before its complete state, and everything of an earlier era after it")
{
    auto mirror = mirrorOfFirstEra();
    CHECK(mirror.apply({ .era = 2, .after = 27, .upTo = 30, .records = { put("b", 30) } }).empty());
    CHECK(mirror.position().era == 1);
    mirror.apply({ .era = 2, .upTo = 25, .isComplete = true, .records = { put("kept", 3) } });
    CHECK(mirror.apply({ .era = 1, .after = 27, .upTo = 30, .records = { put("b", 30) } }).empty());
    CHECK(mirror.apply({ .era = 1, .upTo = 99, .isComplete = true, .records = { put("b", 30) } }).empty());
    CHECK(mirror.position() == Base::StorePosition { .era = 2, .revision = 25 });
}

TEST_CASE("a peer of another era gets the complete state, and ignores that of an earlier one")
{
    auto before = mirrorOfFirstEra();
    auto after = mirrorOfFirstEra();
    after.apply({ .era = 2, .upTo = 25, .isComplete = true, .records = { put("kept", 3) } });
    const auto response = after.changesAfter(before.position(), 1000);
    CHECK(response.isComplete);
    CHECK_FALSE(after.accepts(before.changesAfter(after.position(), 1000)));
    before.apply(response);
    CHECK(before.position() == after.position());
    CHECK(stateOf(before) == stateOf(after));
}

TEST_CASE("a state of the same era with a lower revision is ignored")
{
    auto mirror = mirrorOfFirstEra();
    CHECK_FALSE(mirror.accepts({ .era = 1, .upTo = 26, .isComplete = true }));
    Mirror::Mirror withoutEras;
    withoutEras.apply({ .upTo = 10, .isComplete = true, .records = { put("a", 3) } });
    CHECK_FALSE(withoutEras.accepts({ .upTo = 9, .isComplete = true }));
    CHECK(withoutEras.accepts({ .after = 10, .upTo = 11, .records = { put("a", 11) } }));
}

TEST_CASE("mirrors that read the store or each other agree with it after any series of changes and returns")
{
    constexpr int rounds = 400;
    const uint64_t seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    Base::Random random(seed);
    ModelStore store;
    std::vector<Mirror::Mirror> mirrors(3);
    std::vector<ChangeBatch> delayed;
    const auto readStore = [&](Mirror::Mirror& mirror) {
        const auto answer = mirror.isSynchronized() ? store.changesAfter(mirror.position().revision) : std::nullopt;
        // As StoreThread does: an answer of another era is not used.
        mirror.apply(answer && answer->era == mirror.position().era ? *answer : store.complete());
    };
    for (int round = 0; round < rounds; ++round) {
        const auto key = std::string(1, static_cast<char>('a' + random.below(6)));
        store.change(key, random.chance(0.7) ? std::optional(std::to_string(round)) : std::nullopt);
        if (random.chance(0.05))
            store.keepCopy();
        if (random.chance(0.04))
            store.restoreCopy();
        auto& mirror = mirrors[random.below(mirrors.size())];
        const auto before = mirror.position();
        const auto& peer = mirrors[random.below(mirrors.size())];
        if (random.chance(0.3))
            readStore(mirror);
        else if (random.chance(0.5) && peer.isSynchronized())
            mirror.apply(peer.changesAfter(mirror.position(), 1'000'000));
        if (random.chance(0.2))
            delayed.push_back(store.complete());
        if (!delayed.empty() && random.chance(0.2))
            mirror.apply(delayed[random.below(delayed.size())]);
        CHECK(mirror.position() >= before);
    }
    readStore(mirrors[0]);
    for (auto& mirror : mirrors) {
        mirror.apply(mirrors[0].changesAfter(mirror.position(), 1'000'000));
        CHECK(mirror.position() == store.complete().end());
        State expected;
        for (const auto& record : store.complete().records)
            expected[record.key] = record.value;
        CHECK(stateOf(mirror) == expected);
    }
}
