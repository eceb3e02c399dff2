#include <LibSteering/Process/Room.h>
#include <LibSteering/Process/RoomShares.h>
#include <catch2/catch.hpp>
#include <map>

using Base::milliseconds;
using Steering::Room;
using Steering::RoomShares;

namespace {

Base::EntryVmId entryVm(uint32_t host) { return Base::EntryVmId::fromEndpoint({ .address = { host }, .port = 100 }); }

std::vector<RoomShares::Member> members(uint32_t count, uint32_t demand = 0)
{
    std::vector<RoomShares::Member> all;
    for (uint32_t index = 1; index <= count; ++index)
        all.push_back({ .id = entryVm(index), .domain = index % 3, .demand = demand });
    return all;
}

std::vector<RoomShares::PlacesOfServer> servers(uint64_t count, uint32_t places)
{
    std::vector<RoomShares::PlacesOfServer> all;
    for (uint64_t number = 1; number <= count; ++number)
        all.push_back({ .number = { number }, .domain = number % 3, .places = places });
    return all;
}

uint32_t sum(const RoomShares::OwnPlaces& places)
{
    uint32_t total = 0;
    for (const auto& [number, count] : places)
        total += count;
    return total;
}

}

TEST_CASE("room is short when two thirds of the places are taken, and ample again only after a second below one half")
{
    Room room;
    Base::TimePoint now { milliseconds(1000) };
    const auto runAt = [&](uint32_t inFlight, uint32_t unserved, milliseconds time) {
        for (const auto end = now + time; now < end; now += milliseconds(25))
            room.update(now, { .places = 60, .inFlight = inFlight, .unserved = unserved });
    };
    runAt(39, 0, milliseconds(1000));
    CHECK_FALSE(room.isShort());
    runAt(39, 1, milliseconds(25));
    CHECK(room.isShort());
    runAt(31, 0, milliseconds(3000));
    CHECK(room.isShort());
    runAt(3, 0, milliseconds(900));
    CHECK(room.isShort());
    runAt(3, 0, milliseconds(300));
    CHECK_FALSE(room.isShort());
    // A single peak.
    runAt(60, 0, milliseconds(25));
    CHECK_FALSE(room.isShort());
    runAt(60, 0, milliseconds(75));
    CHECK(room.isShort());
}

TEST_CASE("each place has one holder, whatever the demands")
{
    for (uint32_t count = 1; count <= 85; count += 7) {
        auto all = members(count);
        for (uint32_t index = 0; index < count; ++index)
            all[index].demand = index * index % 17;
        std::map<uint64_t, uint32_t> given;
        for (uint32_t index = 1; index <= count; ++index) {
            for (const auto& [number, places] : RoomShares::divide(entryVm(index), all, servers(5, 6)))
                given[number.value] += places;
        }
        CHECK(given == std::map<uint64_t, uint32_t> { { 1, 6 }, { 2, 6 }, { 3, 6 }, { 4, 6 }, { 5, 6 } });
    }
}

TEST_CASE("an entry VM that needs more room gets more, and a silent one keeps a part")
{
    auto all = members(8, 10);
    all[0].demand = 30;
    all[1].demand = 0;
    const auto busy = sum(RoomShares::divide(entryVm(1), all, servers(20, 6)));
    const auto silent = sum(RoomShares::divide(entryVm(2), all, servers(20, 6)));
    const auto usual = sum(RoomShares::divide(entryVm(3), all, servers(20, 6)));
    CHECK(busy > 2 * usual);
    CHECK(silent >= 3);
    CHECK(silent < usual);
}

TEST_CASE("entry VMs whose lists differ by one member give out at most a share more than the places of a server")
{
    constexpr uint32_t count = 8;
    constexpr uint32_t places = 6;
    const auto all = members(count, 10);
    for (uint32_t missing = 1; missing <= count; ++missing) {
        auto fewer = all;
        fewer.erase(fewer.begin() + missing - 1);
        std::map<uint64_t, uint32_t> given;
        uint32_t total = 0;
        for (uint32_t index = 1; index <= count; ++index) {
            const bool seesAll = index % 2 == 0 || index == missing;
            const auto own = RoomShares::divide(entryVm(index), seesAll ? all : fewer, servers(10, places));
            total += sum(own);
            for (const auto& [number, held] : own)
                given[number.value] += held;
        }
        // Half of them divide among seven: a seventh of the places instead of an eighth.
        CHECK(total <= 10 * places + count);
        for (const auto& [number, held] : given)
            CHECK(held <= places + 2);
    }
}
