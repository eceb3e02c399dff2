#include <ControlFakes/FakeStore.h>
#include <LibControl/Process/CircuitBreaker.h>
#include <LibControl/Process/Lease.h>
#include <LibControl/Process/MemberTable.h>
#include <LibControl/Process/UpdateQueue.h>
#include <LibControl/Version/Compression.h>
#include <LibControl/Version/PushTree.h>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>

using namespace Control;
using Base::milliseconds;
using Base::TimePoint;

namespace {

constexpr TimePoint start { Base::seconds(100) };

std::vector<EntryVmId> makeIds(std::size_t count)
{
    std::vector<EntryVmId> ids;
    for (std::size_t index = 1; index <= count; ++index)
        ids.push_back({ index << 16 });
    return ids;
}

/// A lease that uses a store without delays.
struct LeaseFixture {
    LeaseFixture(ControlFakes::FakeStore& usedStore, EntryVmId id)
        : store(usedStore)
        , lease({ .key = "slot", .self = { .id = id, .incarnation = 1 } }, gateway)
    {
    }

    void deliverCalls(TimePoint now)
    {
        for (auto& call : gateway.takeOutgoingCalls())
            store.handle(now, call.request, [&, id = call.id](TimePoint, Store::Answer answer) {
                CHECK_FALSE(Base::captureError([&] { return gateway.handleResponse(now, id, answer); }));
                deliverCalls(now);
            });
    }

    void acquire(TimePoint now)
    {
        lease.acquire(now);
        deliverCalls(now);
    }

    ControlFakes::FakeStore& store;
    ControlStatistics statistics;
    StoreGateway gateway { {}, statistics };
    Lease lease;
};

}

namespace {

/// The number of times that each member is reached by one push. isUnknown: whether a node does not know a member.
std::map<EntryVmId, int> simulatePush(const std::vector<EntryVmId>& all, uint64_t seed,
    const std::function<bool(EntryVmId node, EntryVmId id)>& isUnknown, const std::function<bool(EntryVmId)>& isUsable)
{
    std::map<EntryVmId, int> reached;
    std::deque<PushDelegate> queue { { .to = all[seed], .range = wholeRing(seed, all[seed]) } };
    while (!queue.empty()) {
        const auto step = queue.front();
        queue.pop_front();
        auto view = all;
        std::erase_if(view, [&](EntryVmId id) { return isUnknown(step.to, id); });
        for (const auto& delegate : chooseDelegates(step.to, view, step.range, 2, isUsable)) {
            ++reached[delegate.to];
            queue.push_back(delegate);
        }
    }
    return reached;
}

}

TEST_CASE("A push reaches every other member exactly once when all views agree")
{
    const auto all = makeIds(300);
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        const auto reached = simulatePush(
            all, seed, [](EntryVmId, EntryVmId) { return false; }, [](EntryVmId) { return true; });
        CHECK(reached.size() == all.size() - 1);
        CHECK(std::all_of(reached.begin(), reached.end(), [](const auto& entry) { return entry.second == 1; }));
    }
}

TEST_CASE("A push reaches nearly all members with few duplicates when views differ and delegates are unusable")
{
    const auto all = makeIds(300);
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        const auto reached = simulatePush(
            all, seed, [](EntryVmId node, EntryVmId id) { return Base::mix(id.value, node.value) % 50 == 0; },
            [](EntryVmId id) { return Base::mix(id.value) % 7 != 0; });
        int messages = 0;
        for (const auto& [id, times] : reached)
            messages += times;
        CHECK(reached.size() >= 295);
        CHECK(messages <= 600);
    }
}

TEST_CASE("The order of updates does not affect the member table")
{
    std::vector<MemberUpdate> updates;
    for (uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
        for (uint32_t refutation = 0; refutation < 2; ++refutation) {
            for (const auto state : { MemberState::Alive, MemberState::Suspect, MemberState::Dead })
                updates.push_back({ .id = { 9 },
                    .incarnation = incarnation,
                    .refutation = refutation,
                    .state = state,
                    .failureDomain = "brum" });
        }
    }
    updates.push_back({ .id = { 9 }, .incarnation = 3, .failureDomain = "brum" });
    Base::Random random(3);
    for (int round = 0; round < 50; ++round) {
        MemberTable table;
        for (std::size_t left = updates.size(); left > 1; --left)
            std::swap(updates[left - 1], updates[random.below(left)]);
        for (const auto& update : updates)
            table.apply(update, start);
        REQUIRE(table.isLive({ 9 }));
        CHECK(table.find({ 9 })->incarnation == 3);
        CHECK(table.liveCount() == 1);
        CHECK(table.findDomain(domainTag("brum"))->digest != 0);
    }
}

TEST_CASE("An update is sent a bounded number of times and replaced by a newer one")
{
    UpdateQueue queue;
    queue.push({ .id = { 1 }, .refutation = 1 }, 8);
    queue.push({ .id = { 1 }, .refutation = 2 }, 8);
    std::size_t sent = 0;
    while (!queue.isEmpty()) {
        const auto batch = queue.nextBatch(4);
        REQUIRE(batch.size() == 1);
        CHECK(batch[0].refutation == 2);
        ++sent;
    }
    CHECK(sent == 8);
}

TEST_CASE("A lease expires for its paused holder and passes to another node with a newer epoch")
{
    ControlFakes::FakeStore store(1);
    LeaseFixture first(store, { 1 });
    LeaseFixture second(store, { 2 });
    first.acquire(start);
    REQUIRE(first.lease.isHeld(start));
    second.acquire(start);
    CHECK_FALSE(second.lease.isHeld(start));
    const auto later = start + Base::seconds(20);
    store.tick(later);
    second.acquire(later);
    CHECK(second.lease.isHeld(later));
    CHECK_FALSE(first.lease.isHeld(later));
    CHECK(second.lease.epoch() > first.lease.epoch());
}

TEST_CASE("An attempt to acquire a lease times out when the response is lost")
{
    ControlFakes::FakeStore store(1);
    LeaseFixture host(store, { 1 });
    host.lease.acquire(start);
    host.deliverCalls(start - Base::seconds(0));
    store.write(start, "unrelated", "value");
    REQUIRE(host.lease.isHeld(start));
    LeaseFixture other(store, { 2 });
    other.lease.acquire(start);
    store.faults.responseLossProbability = 1;
    other.deliverCalls(start);
    other.gateway.tick(start + Base::seconds(5));
    CHECK_FALSE(other.lease.isHeld(start + Base::seconds(5)));
    CHECK(other.statistics.storeTimeouts == 1);
}

TEST_CASE("An open circuit breaker allows single trial calls until one succeeds")
{
    CircuitBreaker breaker({ .seed = 1 });
    for (int failure = 0; failure < 3; ++failure) {
        CHECK(breaker.tryAllowCall(start));
        breaker.recordFailure(start);
    }
    CHECK_FALSE(breaker.tryAllowCall(start));
    int trials = 0;
    for (int step = 0; step < 600; ++step)
        trials += breaker.tryAllowCall(start + milliseconds(100) * step) ? 1 : 0;
    CHECK(trials >= 14);
    CHECK(trials <= 40);
    breaker.recordSuccess();
    CHECK(breaker.tryAllowCall(start));
}

TEST_CASE("A store that responds late is slow; one that does not respond is unreachable")
{
    ControlStatistics statistics;
    StoreGateway gateway({}, statistics);
    const auto startCall = [&](TimePoint now) {
        gateway.tryCall(now, Store::Get { .key = "key" }, [](TimePoint, const Store::Answer&) {});
        return gateway.takeOutgoingCalls().at(0).id;
    };
    const auto first = startCall(start);
    gateway.tick(start + Base::seconds(2));
    const auto late = Base::captureError(
        [&] { return gateway.handleResponse(start + Base::seconds(3), first, { .status = Store::Status::Ok }); });
    REQUIRE(late);
    CHECK(late->code == Base::ErrorCode::Stale);
    CHECK(gateway.health() == StoreHealth::Slow);
    for (int call = 0; call < 3; ++call) {
        const auto now = start + Base::seconds(10 * (call + 1));
        startCall(now);
        gateway.tick(now + Base::seconds(8));
    }
    CHECK(gateway.health() == StoreHealth::Unreachable);
}

TEST_CASE("Compressed data is restored; invalid or oversized data is rejected")
{
    const std::string text(5000, 'x');
    const auto compressed = compressBytes(text);
    CHECK(compressed.size() < 200);
    CHECK(*Base::capture([&] { return decompressBytes(compressed, 5000); }).value == text);
    CHECK_FALSE(Base::capture([&] { return decompressBytes(compressed, 4999); }).isOk());
    CHECK_FALSE(Base::capture([&] { return decompressBytes("not compressed", 5000); }).isOk());
}
