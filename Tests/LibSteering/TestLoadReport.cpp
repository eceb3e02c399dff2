#include <LibBase/Random.h>
#include <LibPeer/MsgpackReader.h>
#include <LibSteering/Process/LoadReport.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

TEST_CASE("a decoded load report equals the encoded one")
{
    const Steering::LoadReport report { .sender = { 77 },
        .sequence = 1'700'000'000'000'000,
        .position = { .era = 3, .revision = 42 },
        .store = Steering::StoreView::Overdue,
        .loads = { { .number = { 0xFFFFFFFFFFFFFFFF }, .inFlight = 3 }, { .number = { 5 }, .inFlight = 1 } },
        .demands = { { .service = Steering::ServiceKey::of("rota"), .requests = 12 } },
        .speeds = { { .number = { 5 }, .relativeThousandths = 1600 } },
        .possiblyRestarted = { { 6 }, { 7 } } };
    const auto bytes = Steering::encodeLoadReport(report);
    const auto read = Base::capture([&] { return Steering::decodeLoadReport(bytes); });
    REQUIRE(read.isOk());
    CHECK(read.value->sender == report.sender);
    CHECK(read.value->sequence == report.sequence);
    CHECK(read.value->position == report.position);
    CHECK(read.value->store == Steering::StoreView::Overdue);
    REQUIRE(read.value->loads.size() == 2);
    CHECK(read.value->loads[0].number == report.loads[0].number);
    CHECK(read.value->loads[1].inFlight == 1);
    REQUIRE(read.value->demands.size() == 1);
    CHECK(read.value->demands[0].service == Steering::ServiceKey::of("rota"));
    CHECK(read.value->demands[0].requests == 12);
    REQUIRE(read.value->speeds.size() == 1);
    CHECK(read.value->speeds[0].number == Steering::BackendServerNumber { 5 });
    CHECK(read.value->speeds[0].relativeThousandths == 1600);
    CHECK(read.value->possiblyRestarted == report.possiblyRestarted);
}

TEST_CASE("a load report of an earlier release, without demand and speeds, is accepted")
{
    const auto bytes = Peer::writeMsgpack(nlohmann::json::array({ 77U, 9U, 42U, 0U, { 5U }, { 3U } }));
    const auto read = Base::capture([&] { return Steering::decodeLoadReport(bytes); });
    REQUIRE(read.isOk());
    CHECK(read.value->loads.size() == 1);
    CHECK(read.value->demands.empty());
    CHECK(read.value->speeds.empty());
    CHECK(read.value->possiblyRestarted.empty());
}

TEST_CASE("a load report without optional content has the form of an earlier release, which accepts no other")
{
    const Steering::LoadReport report { .sender = { 77 },
        .sequence = 9,
        .position = { .revision = 42 },
        .store = Steering::StoreView::Responding,
        .loads = { { .number = { 5 }, .inFlight = 3 } } };
    const auto earlier = Peer::writeMsgpack(
        nlohmann::json::array({ 77U, 9U, 42U, 1U, nlohmann::json::array({ 5U }), nlohmann::json::array({ 3U }) }));
    CHECK(Steering::encodeLoadReport(report) == earlier);
    auto withDemand = report;
    withDemand.demands = { { .service = { 4 }, .requests = 2 } };
    auto withRestart = report;
    withRestart.possiblyRestarted = { { 6 } };
    CHECK(Steering::decodeLoadReport(Steering::encodeLoadReport(withDemand)).value().demands.size() == 1);
    CHECK(Steering::decodeLoadReport(Steering::encodeLoadReport(withRestart)).value().possiblyRestarted.size() == 1);
}

TEST_CASE("a load report with an unknown view of the store is malformed")
{
    const auto bytes = Peer::writeMsgpack(nlohmann::json::array({ 77U, 9U, 42U, 4U, { 5U }, { 3U } }));
    CHECK_FALSE(Base::capture([&] { return Steering::decodeLoadReport(bytes); }).isOk());
}

TEST_CASE("a load report with a demand without a count is malformed")
{
    const auto bytes = Peer::writeMsgpack(nlohmann::json::array({ 77U, 9U, 42U, 0U, { 5U }, { 3U }, { 1U, 2U, 3U } }));
    CHECK_FALSE(Base::capture([&] { return Steering::decodeLoadReport(bytes); }).isOk());
}

TEST_CASE("corrupted load reports are decoded or rejected without a crash")
{
    Base::Random random(3);
    const auto bytes = Steering::encodeLoadReport({ .sender = { 77 },
        .sequence = 9,
        .position = { .era = 2, .revision = 1 },
        .loads = { { .number = { 5 }, .inFlight = 1 } },
        .demands = { { .service = { 4 }, .requests = 2 } },
        .speeds = { { .number = { 5 }, .relativeThousandths = 1600 } },
        .possiblyRestarted = { { 6 } } });
    for (int round = 0; round < 5000; ++round) {
        auto damaged = bytes;
        for (uint64_t changes = 1 + random.below(3); changes > 0; --changes)
            damaged[random.below(damaged.size())] = static_cast<std::byte>(random.below(256));
        damaged.resize(1 + random.below(damaged.size()));
        Base::capture([&] { return Steering::decodeLoadReport(damaged); });
    }
}
