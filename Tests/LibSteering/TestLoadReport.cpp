#include <LibBase/Random.h>
#include <LibSteering/Process/LoadReport.h>
#include <catch2/catch.hpp>

TEST_CASE("a decoded load report equals the encoded one")
{
    const Steering::LoadReport report { .sender = { 77 },
        .sequence = 1'700'000'000'000'000,
        .revision = 42,
        .loads = { { .number = { 0xFFFFFFFFFFFFFFFF }, .inFlight = 3 }, { .number = { 5 }, .inFlight = 1 } } };
    const auto bytes = Steering::encodeLoadReport(report);
    const auto read = Base::capture([&] { return Steering::decodeLoadReport(bytes); });
    REQUIRE(read.isOk());
    CHECK(read.value->sender == report.sender);
    CHECK(read.value->sequence == report.sequence);
    CHECK(read.value->revision == report.revision);
    REQUIRE(read.value->loads.size() == 2);
    CHECK(read.value->loads[0].number == report.loads[0].number);
    CHECK(read.value->loads[1].inFlight == 1);
}

TEST_CASE("corrupted load reports are decoded or rejected without a crash")
{
    Base::Random random(3);
    const auto bytes = Steering::encodeLoadReport(
        { .sender = { 77 }, .sequence = 9, .revision = 1, .loads = { { .number = { 5 }, .inFlight = 1 } } });
    for (int round = 0; round < 5000; ++round) {
        auto damaged = bytes;
        for (uint64_t changes = 1 + random.below(3); changes > 0; --changes)
            damaged[random.below(damaged.size())] = static_cast<std::byte>(random.below(256));
        damaged.resize(1 + random.below(damaged.size()));
        Base::capture([&] { return Steering::decodeLoadReport(damaged); });
    }
}
