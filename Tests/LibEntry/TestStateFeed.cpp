// Thousands of records that arrive at once, as at a start in a large deployment, while the packet thread does other
// work.

#include <LibEntry/StateFeed.h>
#include <catch2/catch.hpp>
#include <future>

namespace {

constexpr int recordCount = 5000;
/// Only a test that fails takes this long.
constexpr Base::milliseconds testTimeout { 5000 };

Mirror::ChangeBatch manyServers()
{
    Mirror::ChangeBatch batch { .upTo = recordCount, .isComplete = true };
    for (uint64_t index = 1; index <= recordCount; ++index) {
        batch.records.push_back({ .key = "servers/i-" + Steering::BackendServerNumber { index }.toString(),
            .revision = index,
            .value = R"({"service":"rota","address":"10.128.0.9:8080","zone":"brum","version":"v1",)"
                     R"("concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":4,"born":1700})" });
    }
    return batch;
}

}

TEST_CASE("the thread that takes events may report the store's state while thousands of events are pending")
{
    std::promise<void> woken;
    std::once_flag once;
    Entry::StateFeed feed(
        { .wake = [&] { std::call_once(once, [&] { woken.set_value(); }); }, .self = {}, .onOwnRecordRemoved = {} });
    auto producer = std::async(std::launch::async, [&] { feed.apply(manyServers(), "store"); });
    REQUIRE(woken.get_future().wait_for(testTimeout) == std::future_status::ready);
    auto consumer = std::async(std::launch::async, [&] { feed.setStoreReachable(false, "reported by peers"); });
    CHECK(consumer.wait_for(testTimeout) == std::future_status::ready);
    int listed = 0;
    int reachabilityChanges = 0;
    const auto drain = [&] {
        Steering::StateEvent event;
        while (feed.tryPop(event)) {
            listed += std::holds_alternative<Steering::ServerListed>(event) ? 1 : 0;
            reachabilityChanges += std::holds_alternative<Steering::StoreReachable>(event) ? 1 : 0;
        }
    };
    while (producer.wait_for(Base::milliseconds(0)) != std::future_status::ready
        || consumer.wait_for(Base::milliseconds(0)) != std::future_status::ready)
        drain();
    drain();
    CHECK(listed == recordCount);
    CHECK(reachabilityChanges == 1);
    CHECK(feed.isEmpty());
}
