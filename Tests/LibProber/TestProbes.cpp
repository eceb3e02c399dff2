#include <LibProber/ProbeResponse.h>
#include <LibProber/ProbeSchedule.h>
#include <catch2/catch.hpp>

namespace {

constexpr Base::TimePoint start { Base::seconds(100) };

std::vector<Peer::ProbeTarget> targetsUpTo(uint32_t count)
{
    std::vector<Peer::ProbeTarget> targets;
    for (uint32_t id = 1; id <= count; ++id)
        targets.push_back({ .backendServer = { id }, .management = { { 0x7F000001 }, static_cast<uint16_t>(id) } });
    return targets;
}

std::optional<Base::ErrorCode> codeOf(const std::string& text)
{
    const auto response = Base::capture([&] { return Prober::parseProbeResponse(text); });
    return response.isOk() ? std::nullopt : std::optional(response.error.code);
}

}

TEST_CASE("Due probes are started up to the concurrency limit, and finished ones wait for their next interval")
{
    Prober::ProbeSchedule schedule({ .interval = Base::milliseconds(400), .maximumConcurrent = 3, .seed = 5 });
    CHECK(schedule.setTargets(start, targetsUpTo(10)));
    CHECK_FALSE(schedule.setTargets(start, targetsUpTo(10)));
    const auto first = schedule.startDueProbes(start + Base::milliseconds(400));
    CHECK(first.size() == 3);
    CHECK(schedule.startDueProbes(start + Base::milliseconds(400)).empty());
    for (const auto& target : first)
        schedule.finish(start + Base::milliseconds(410), target.backendServer);
    const auto second = schedule.startDueProbes(start + Base::milliseconds(410));
    REQUIRE(second.size() == 3);
    for (const auto& target : second) {
        const auto again = std::find_if(
            first.begin(), first.end(), [&](const auto& other) { return other.backendServer == target.backendServer; });
        CHECK(again == first.end());
    }
}

TEST_CASE("Probes in flight of removed targets count until they finish")
{
    Prober::ProbeSchedule schedule({ .interval = Base::milliseconds(400), .maximumConcurrent = 1, .seed = 5 });
    schedule.setTargets(start, targetsUpTo(2));
    const auto dueTargets = schedule.startDueProbes(start + Base::seconds(1));
    REQUIRE(dueTargets.size() == 1);
    CHECK(schedule.setTargets(start + Base::seconds(1), {}));
    CHECK(schedule.inFlight() == 1);
    schedule.finish(start + Base::seconds(1), dueTargets[0].backendServer);
    CHECK(schedule.inFlight() == 0);
    CHECK(schedule.startDueProbes(start + Base::seconds(9)).empty());
}

TEST_CASE("Probe responses are parsed; unknown fields are ignored")
{
    const auto response = Base::capture([] {
        return Prober::parseProbeResponse(
            R"({"healthy":true,"slots_in_use":2,"connections":30,"start_token":18446744073709551615,"x":[1]})");
    });
    REQUIRE(response.isOk());
    CHECK(response.value->healthy);
    CHECK(response.value->slotsInUse == 2);
    CHECK(response.value->connections == 30);
    CHECK(response.value->startToken == ~0ULL);
    CHECK_FALSE(codeOf(R"({"healthy":false})"));
}

TEST_CASE("Each kind of invalid probe response has its own error")
{
    CHECK(codeOf("") == Base::ErrorCode::Malformed);
    CHECK(codeOf("[]") == Base::ErrorCode::Malformed);
    CHECK(codeOf("{}") == Base::ErrorCode::Malformed);
    CHECK(codeOf(R"({"healthy":1})") == Base::ErrorCode::Malformed);
    CHECK(codeOf(R"({"healthy":true,"connections":-1})") == Base::ErrorCode::Malformed);
    CHECK(codeOf(R"({"healthy":true,"connections":4294967296})") == Base::ErrorCode::OutOfRange);
    CHECK(codeOf(std::string(5000, ' ')) == Base::ErrorCode::TooLarge);
    CHECK(codeOf(std::string(2000, '[')) == Base::ErrorCode::TooLarge);
}
