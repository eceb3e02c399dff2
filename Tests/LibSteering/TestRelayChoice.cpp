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
constexpr Base::StorePosition own { .era = 2, .revision = 10 };

/// The position after further changes.
constexpr Base::StorePosition after(uint64_t changes) { return { own.era, own.revision + changes }; }

}

TEST_CASE("records are fetched from a near peer at once, and from a far one after the store had time to send them")
{
    RelayChoice choice({ .seed = 1 });
    CHECK_FALSE(choice.next(start, own));
    CHECK_FALSE(choice.handleReport(start, first, own, true, own));
    CHECK(choice.handleReport(start, far, after(1), false, own));
    REQUIRE(choice.next(start, own));
    CHECK(choice.next(start, own)->dueAt == start + Times::farRelayDelay);
    CHECK(choice.handleReport(start + milliseconds(50), first, after(1), true, own));
    CHECK(choice.next(start + milliseconds(50), own)->peer == first);
    CHECK(choice.next(start + milliseconds(50), own)->dueAt <= start + milliseconds(50));
    CHECK_FALSE(choice.next(start + milliseconds(60), after(1)));
}

TEST_CASE("a far peer that is ahead by new changes all the time is not asked while the own updates arrive")
{
    RelayChoice choice({ .seed = 1 });
    auto now = start;
    for (uint64_t changes = 0; changes < 20; ++changes) {
        choice.handleReport(now, far, after(changes + 1), false, after(changes));
        now += milliseconds(330);
        const auto next = choice.next(now, after(changes));
        REQUIRE(next);
        CHECK(next->dueAt > now);
    }
}

TEST_CASE("after a failed fetch another peer is asked at once")
{
    RelayChoice choice({ .seed = 1 });
    choice.handleReport(start, first, after(2), true, own);
    REQUIRE(choice.next(start, own)->peer == first);
    const auto failedAt = start + Times::relayStepTimeout;
    choice.handleReport(failedAt, second, after(1), true, own);
    choice.handleFailure(failedAt, first);
    const auto next = choice.next(failedAt, own);
    REQUIRE(next);
    CHECK(next->peer == second);
    CHECK(next->dueAt <= failedAt);
}

TEST_CASE("the only peer with newer records is asked again, less often while it fails")
{
    RelayChoice choice({ .seed = 1 });
    choice.handleReport(start, first, after(1), true, own);
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
            choice.handleReport(start, SteeringFixture::peer(peer), after(1), true, own);
        asked.insert(choice.next(start, own)->peer.value);
    }
    CHECK(asked.size() == 3);
}

TEST_CASE("a peer that no longer reports is forgotten, though nobody else has its records")
{
    RelayChoice choice({ .seed = 1 });
    auto now = start;
    choice.handleReport(now, first, after(1), true, own);
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
    CHECK(choice.handleReport(now, first, after(1), true, own));
    CHECK(choice.next(now, own));
}

TEST_CASE("a peer that goes on reporting stays a candidate")
{
    RelayChoice choice({ .seed = 1 });
    for (auto now = start; now < start + milliseconds(60'000); now += milliseconds(400)) {
        choice.handleReport(now, first, after(1), true, own);
        CHECK(choice.next(now, own));
    }
}

// Guards against peers that are not asked because the restored store's revision is lower than the known one.
TEST_CASE("a peer that holds records of a new era is asked although its revision is lower, and not the other way round")
{
    RelayChoice choice({ .seed = 1 });
    const Base::StorePosition restored { .era = own.era + 1, .revision = own.revision - 1 };
    CHECK(choice.handleReport(start, first, restored, true, own));
    REQUIRE(choice.next(start, own));
    CHECK(choice.next(start, own)->peer == first);
    CHECK_FALSE(choice.handleReport(start, second, after(5), true, restored));
    CHECK_FALSE(choice.next(start, restored));
}
