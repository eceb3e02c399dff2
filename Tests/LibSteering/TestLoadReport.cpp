#include <LibBase/Random.h>
#include <LibSteering/Process/LoadReport.h>
#include <catch2/catch.hpp>

TEST_CASE("a load report is read as it was written")
{
    const Steering::LoadReport report { .sender = { 77 },
        .sequence = 1'700'000'000'000'000,
        .revision = 42,
        .loads = { { .number = { 0xFFFFFFFFFFFFFFFF }, .inProgress = 3 }, { .number = { 5 }, .inProgress = 1 } } };
    const auto bytes = Steering::encodeLoadReport(report);
    const auto read = Base::capture([&] { return Steering::decodeLoadReport(bytes); });
    REQUIRE(read.isOk());
    CHECK(read.value->sender == report.sender);
    CHECK(read.value->sequence == report.sequence);
    CHECK(read.value->revision == report.revision);
    REQUIRE(read.value->loads.size() == 2);
    CHECK(read.value->loads[0].number == report.loads[0].number);
    CHECK(read.value->loads[1].inProgress == 1);
}

TEST_CASE("damaged load reports are refused or read, never worse")
{
    Base::Random random(3);
    const auto bytes = Steering::encodeLoadReport(
        { .sender = { 77 }, .sequence = 9, .revision = 1, .loads = { { .number = { 5 }, .inProgress = 1 } } });
    for (int round = 0; round < 5000; ++round) {
        auto damaged = bytes;
        for (uint64_t changes = 1 + random.below(3); changes > 0; --changes)
            damaged[random.below(damaged.size())] = static_cast<std::byte>(random.below(256));
        damaged.resize(1 + random.below(damaged.size()));
        Base::capture([&] { return Steering::decodeLoadReport(damaged); });
    }
}
