#include <LibBase/Random.h>
#include <LibFlow/Connection/FlowTable.h>
#include <catch2/catch.hpp>
#include <map>

using namespace Flow;

namespace {

Packet::FlowKey key(uint64_t number)
{
    return { .caller
        = { .address = { static_cast<uint32_t>(number >> 8) }, .port = static_cast<uint16_t>(number & 0xFF) },
        .service = { .address = { 0x0A000001 }, .port = 80 } };
}

}

TEST_CASE("The flow table matches a std::map under random insertions and removals", "[flow-table]")
{
    FlowTable table(3000, 1);
    std::map<uint64_t, uint32_t> model;
    Base::Random random(11);
    for (uint32_t round = 1; round <= 60'000; ++round) {
        uint64_t number = random.below(4000);
        auto* record = table.find(key(number));
        REQUIRE((record != nullptr) == model.contains(number));
        if (record) {
            REQUIRE(record->backendServer == model[number]);
            table.erase(*record);
            model.erase(number);
        } else if (auto* added = table.insert(key(number))) {
            added->backendServer = round;
            model[number] = round;
        } else {
            REQUIRE(model.size() == 3000);
        }
        REQUIRE(table.size() == model.size());
    }
    std::size_t visited = 0;
    table.sweep(table.allocatedRecords(), [&](FlowRecord&) { ++visited; });
    CHECK(visited == model.size());
}

TEST_CASE("The flow table uses at most 48 bytes per flow", "[flow-table]")
{
    FlowTable table(300'000, 1);
    for (uint64_t number = 0; number < 300'000; ++number)
        REQUIRE(table.insert(key(number)));
    CHECK(table.memoryBytes() <= 300'000 * 48);
}
