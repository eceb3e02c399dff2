#include <LibSteering/Process/DisseminationTimes.h>
#include <LibSteering/Process/StoreResponsiveness.h>
#include <catch2/catch.hpp>

using Steering::StoreResponsiveness;
using Steering::StoreView;
namespace Times = Steering::DisseminationTimes;

namespace {

using Base::milliseconds;

constexpr milliseconds wait { 1500 };
const auto start = Base::TimePoint {} + milliseconds(60'000);

/// The store has answered a watch at the start.
StoreResponsiveness responding()
{
    StoreResponsiveness responsiveness;
    responsiveness.beginWatch(start - milliseconds(10), wait);
    responsiveness.handleAnswer(start);
    return responsiveness;
}

}

TEST_CASE("a watch that is not answered in time is overdue before the call has failed")
{
    auto responsiveness = responding();
    CHECK(responsiveness.view(start) == StoreView::Responding);
    responsiveness.beginWatch(start, wait);
    CHECK(responsiveness.view(start + wait + Times::answerTolerance) == StoreView::Responding);
    CHECK(responsiveness.view(start + wait + Times::answerTolerance + milliseconds(1)) == StoreView::Overdue);
    CHECK_FALSE(responsiveness.isAway());
}

// Guards against a watcher that counts as responding while it waits for all records from a silent connection.
TEST_CASE("a read of records that is not answered in time is overdue, and so is a repeated one")
{
    auto responsiveness = responding();
    responsiveness.beginRead(start);
    CHECK(responsiveness.view(start + Times::readTolerance) == StoreView::Responding);
    const auto overdueAt = start + Times::readTolerance + milliseconds(1);
    CHECK(responsiveness.view(overdueAt) == StoreView::Overdue);
    responsiveness.handleFailure(overdueAt);
    responsiveness.beginRead(overdueAt);
    CHECK(responsiveness.view(overdueAt) == StoreView::Overdue);
    // As after an overdue watch, two answers in time end that.
    responsiveness.handleAnswer(overdueAt + milliseconds(10));
    CHECK(responsiveness.view(overdueAt + milliseconds(10)) == StoreView::Overdue);
    responsiveness.beginRead(overdueAt + milliseconds(10));
    responsiveness.handleAnswer(overdueAt + milliseconds(20));
    CHECK(responsiveness.view(overdueAt + milliseconds(20)) == StoreView::Responding);
}

TEST_CASE("the store is away after two failed calls, and back after one answer")
{
    auto responsiveness = responding();
    responsiveness.beginWatch(start, wait);
    responsiveness.handleFailure(start + milliseconds(2500));
    CHECK(responsiveness.view(start + milliseconds(2500)) == StoreView::Overdue);
    CHECK_FALSE(responsiveness.isAway());
    responsiveness.beginWatch(start + milliseconds(2600), milliseconds(200));
    responsiveness.handleFailure(start + milliseconds(3600));
    CHECK(responsiveness.view(start + milliseconds(3600)) == StoreView::Unresponsive);
    CHECK(responsiveness.isAway());
    responsiveness.beginWatch(start + milliseconds(4000), milliseconds(200));
    responsiveness.handleAnswer(start + milliseconds(4100));
    CHECK(responsiveness.view(start + milliseconds(4100)) == StoreView::Responding);
}

TEST_CASE("one reset or refused call is repeated before the view changes")
{
    auto responsiveness = responding();
    responsiveness.beginWatch(start, wait);
    responsiveness.handleFailure(start + milliseconds(300));
    CHECK(responsiveness.view(start + milliseconds(310)) == StoreView::Responding);
    CHECK(responsiveness.nextWatchTimeout(start + milliseconds(310), wait) == Times::recoveryWatchTimeout);
    responsiveness.beginWatch(start + milliseconds(400), Times::recoveryWatchTimeout);
    responsiveness.handleAnswer(start + milliseconds(500));
    CHECK(responsiveness.view(start + milliseconds(500)) == StoreView::Responding);
}

TEST_CASE("after an overdue watch, the store has to answer twice in time")
{
    auto responsiveness = responding();
    responsiveness.beginWatch(start, wait);
    auto now = start + milliseconds(2100);
    responsiveness.handleAnswer(now);
    CHECK(responsiveness.view(now) == StoreView::Overdue);
    // The store answers, so that the watch is not repeated in short intervals.
    CHECK(responsiveness.nextWatchTimeout(now, wait) == wait);
    responsiveness.beginWatch(now, wait);
    now += milliseconds(100);
    responsiveness.handleAnswer(now);
    CHECK(responsiveness.view(now) == StoreView::Overdue);
    responsiveness.beginWatch(now, responsiveness.nextWatchTimeout(now, wait));
    now += milliseconds(100);
    responsiveness.handleAnswer(now);
    CHECK(responsiveness.view(now) == StoreView::Responding);
}

TEST_CASE("a store that answers late each time stays overdue")
{
    auto responsiveness = responding();
    auto now = start;
    for (int round = 0; round < 10; ++round) {
        responsiveness.beginWatch(now, wait);
        now += wait + milliseconds(600);
        responsiveness.handleAnswer(now);
        CHECK(responsiveness.view(now) == StoreView::Overdue);
        CHECK_FALSE(responsiveness.isAway());
    }
}

TEST_CASE("the first watch is short, and a pause after an answer shortens the next")
{
    StoreResponsiveness responsiveness;
    CHECK(responsiveness.nextWatchTimeout(start, wait) == Times::firstWatchTimeout);
    CHECK(responsiveness.view(start) == StoreView::NotWatching);
    responsiveness.beginWatch(start, Times::firstWatchTimeout);
    responsiveness.handleAnswer(start + Times::firstWatchTimeout);
    const auto afterPause = start + Times::firstWatchTimeout + Times::changeBatchingInterval;
    CHECK(responsiveness.nextWatchTimeout(afterPause, wait) == wait - Times::changeBatchingInterval);
    CHECK(responsiveness.nextWatchTimeout(afterPause + milliseconds(60'000), wait) == Times::recoveryWatchTimeout);
    CHECK(responsiveness.nextWatchTimeout(afterPause, milliseconds(100)) == milliseconds(100));
    responsiveness.stopWatching();
    CHECK(responsiveness.view(afterPause) == StoreView::NotWatching);
    CHECK(responsiveness.nextWatchTimeout(afterPause, wait) == Times::firstWatchTimeout);
}
