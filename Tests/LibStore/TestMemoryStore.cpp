#include <LibStore/MemoryStore.h>
#include <catch2/catch.hpp>

using namespace Store;

TEST_CASE("A key is created only if absent, and its version increases across deletions")
{
    MemoryStore store;
    const Base::TimePoint now {};
    CHECK(store.handle(now, Get { "key" }).status == Status::NotFound);
    CHECK(store.handle(now, CompareAndSwap { .key = "key", .expected = 0, .value = "a" }).version == 1);
    const auto refused = store.handle(now, CompareAndSwap { .key = "key", .expected = 0, .value = "b" });
    CHECK(refused.status == Status::VersionMismatch);
    CHECK(refused.version == 1);
    CHECK(refused.value == "a");
    CHECK(store.handle(now, CompareAndDelete { .key = "key", .expected = 1 }).status == Status::Ok);
    CHECK(store.handle(now, Watch { .key = "key", .known = 1 }).status == Status::NotFound);
    CHECK(store.handle(now, CompareAndSwap { .key = "key", .expected = 0, .value = "c" }).version == 2);
    CHECK(store.staleAnswer("key").status == Status::NotFound);
}

TEST_CASE("A value above the size limit is refused without effect")
{
    MemoryStore store;
    const std::string large(maximumValueBytes + 1, 'x');
    CHECK(store.handle({}, CompareAndSwap { .key = "key", .value = large }).status == Status::TooLarge);
    CHECK(store.keyCount() == 0);
}

TEST_CASE("The keys of a lease are deleted when it ends")
{
    MemoryStore store;
    Base::TimePoint now {};
    const auto lease = store.handle(now, GrantLease { Base::seconds(10) }).lease;
    CHECK(store.handle(now, CompareAndSwap { .key = "key", .value = "a", .lease = lease }).status == Status::Ok);
    now += Base::seconds(9);
    CHECK(store.handle(now, RenewLease { lease }).status == Status::Ok);
    now += Base::seconds(9);
    CHECK(store.handle(now, Get { "key" }).status == Status::Ok);
    now += Base::seconds(1);
    CHECK(store.handle(now, Get { "key" }).status == Status::NotFound);
    CHECK(store.handle(now, RenewLease { lease }).status == Status::NotFound);
    CHECK(store.handle(now, CompareAndSwap { .key = "key", .value = "b", .lease = lease }).status == Status::NotFound);
}
