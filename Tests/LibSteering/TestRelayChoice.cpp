#include "Fixture.h"

#include <LibSteering/Process/DisseminationTimes.h>
#include <LibSteering/Process/RelayChoice.h>
#include <catch2/catch.hpp>
#include <set>

using Steering::RelayChoice;
namespace Times = Steering::DisseminationTimes;

namespace {

using Base::milliseconds;

const auto start = Base::TimePoint {} + milliseconds(60'000);
const auto first = SteeringFixture::peer(1);
const auto second = SteeringFixture::peer(2);
const auto far = SteeringFixture::peer(3);
constexpr uint64_t own = 10;

}

TEST_CASE("records are fetched from a near peer at once, and from a far one after the store had time to send them")
{
    RelayChoice choice({ .seed = 1 });
    CHECK_FALSE(choice.next(start, own));
    CHECK_FALSE(choice.handleReport(start, first, own, true, own));
    CHECK(choice.handleReport(start, far, own + 1, false, own));
    REQUIRE(choice.next(start, own));
    CHECK(choice.next(start, own)->dueAt == start + Times::farRelayDelay);
    CHECK(choice.handleReport(start + milliseconds(50), first, own + 1, true, own));
    CHECK(choice.next(start + milliseconds(50), own)->peer == first);
    CHECK(choice.next(start + milliseconds(50), own)->dueAt <= start + milliseconds(50));
    CHECK_FALSE(choice.next(start + milliseconds(60), own + 1));
}

TEST_CASE("a far peer that is ahead by new changes all the time is not asked while the own updates arrive")
{
    RelayChoice choice({ .seed = 1 });
    auto now = start;
    for (uint64_t revision = own; revision < own + 20; ++revision) {
        choice.handleReport(now, far, revision + 1, false, revision);
        now += milliseconds(330);
        const auto next = choice.next(now, revision);
        REQUIRE(next);
        CHECK(next->dueAt > now);
    }
}

TEST_CASE("after a failed fetch another peer is asked at once")
{
    RelayChoice choice({ .seed = 1 });
    choice.handleReport(start, first, own + 2, true, own);
    REQUIRE(choice.next(start, own)->peer == first);
    const auto failedAt = start + Times::relayStepTimeout;
    choice.handleReport(failedAt, second, own + 1, true, own);
    choice.handleFailure(failedAt, first);
    const auto next = choice.next(failedAt, own);
    REQUIRE(next);
    CHECK(next->peer == second);
    CHECK(next->dueAt <= failedAt);
}

TEST_CASE("the only peer with newer records is asked again, less often while it fails")
{
    RelayChoice choice({ .seed = 1 });
    choice.handleReport(start, first, own + 1, true, own);
    auto now = start;
    milliseconds previous { 0 };
    for (int failure = 0; failure < 8; ++failure) {
        choice.handleFailure(now, first);
        const auto next = choice.next(now, own);
        REQUIRE(next);
        const auto pause = std::chrono::duration_cast<milliseconds>(next->dueAt - now);
        CHECK(pause >= previous);
        CHECK(pause >= milliseconds(100));
        CHECK(pause <= milliseconds(1600));
        previous = pause;
        now = next->dueAt;
    }
    choice.handleSuccess(first);
    CHECK(choice.next(now, own)->dueAt <= now);
}

TEST_CASE("peers that are equally suited are asked at random")
{
    std::set<uint64_t> asked;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        RelayChoice choice({ .seed = seed });
        for (uint32_t peer = 1; peer <= 3; ++peer)
            choice.handleReport(start, SteeringFixture::peer(peer), own + 1, true, own);
        asked.insert(choice.next(start, own)->peer.value);
    }
    CHECK(asked.size() == 3);
}

TEST_CASE("a peer that no longer reports is forgotten, though nobody else has its records")
{
    RelayChoice choice({ .seed = 1 });
    auto now = start;
    choice.handleReport(now, first, own + 1, true, own);
    // Each fetch fails, as from a peer that has left.
    for (int fetch = 0; fetch < 100; ++fetch) {
        const auto next = choice.next(now, own);
        if (!next)
            break;
        now = std::max(now, next->dueAt) + Times::relayStepTimeout;
        choice.handleFailure(now, first);
    }
    CHECK_FALSE(choice.next(now, own));
    CHECK(now - start < milliseconds(30'000));
    // Once it reports again, it is asked again.
    CHECK(choice.handleReport(now, first, own + 1, true, own));
    CHECK(choice.next(now, own));
}

TEST_CASE("a peer that goes on reporting stays a candidate")
{
    RelayChoice choice({ .seed = 1 });
    for (auto now = start; now < start + milliseconds(60'000); now += milliseconds(400)) {
        choice.handleReport(now, first, own + 1, true, own);
        CHECK(choice.next(now, own));
    }
}
