#include <LibBase/Random.h>
#include <LibFlow/Connection/FlowTable.h>
#include <catch2/catch.hpp>
#include <unordered_set>

namespace {

Packet::FlowKey keyOf(uint64_t number)
{
    return { .caller = { { 0x0A000000 + static_cast<uint32_t>(number) }, 1024 },
        .service = { { 0xC6336401 }, 443 },
        .protocol = number % 3 == 0 ? Packet::IpProtocol::Udp : Packet::IpProtocol::Tcp };
}

}

TEST_CASE("The flow table holds the same keys as a std::unordered_set under random changes", "[flow]")
{
    constexpr std::size_t maximumFlows = 3000;
    constexpr uint64_t keyCount = 4000;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        Base::Random random(seed);
        Flow::FlowTable table(maximumFlows, seed);
        std::unordered_set<uint64_t> held;
        for (int round = 0; round < 40'000; ++round) {
            const auto number = random.below(keyCount);
            const auto key = keyOf(number);
            auto* record = table.find(key);
            REQUIRE((record != nullptr) == held.contains(number));
            if (record != nullptr) {
                REQUIRE(record->key() == key);
                if (random.chance(0.4)) {
                    table.erase(*record);
                    held.erase(number);
                }
            } else if (table.insert(key) != nullptr) {
                held.insert(number);
            } else {
                REQUIRE(held.size() == maximumFlows);
            }
            REQUIRE(table.size() == held.size());
        }
    }
}

TEST_CASE("Prefetching changes nothing, whether or not the flow has a record", "[flow]")
{
    Flow::FlowTable table(100, 1);
    table.insert(keyOf(1));
    for (uint64_t number = 0; number < 50; ++number) {
        table.prefetchIndex(keyOf(number));
        table.prefetchRecord(keyOf(number));
        CHECK((table.find(keyOf(number)) != nullptr) == (number == 1));
    }
}
