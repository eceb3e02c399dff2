#include "Fixture.h"

#include <LibSteering/Process/WatcherChoice.h>
#include <catch2/catch.hpp>

using Steering::StoreView;
using Steering::WatcherChoice;

namespace {

using Peers = std::unordered_map<Base::EntryVmId, Steering::PeerLoads::Peer>;

constexpr uint32_t fleetSize = 8;
const auto now = Base::TimePoint {} + Base::milliseconds(60'000);
const auto synchronizedAt = now - Base::milliseconds(50'000);

/// The entry VMs of one failure domain that choose to watch the store. views: whether the store responds to each.
std::vector<uint32_t> watchers(const std::vector<StoreView>& views, const std::vector<bool>& isReporting)
{
    std::vector<uint32_t> chosen;
    for (uint32_t self = 0; self < fleetSize; ++self) {
        Peers peers;
        for (uint32_t other = 0; other < fleetSize; ++other) {
            if (other == self)
                continue;
            peers[SteeringFixture::peer(other + 1)] = { .failureDomain = "brum",
                .store = views[other],
                .lastReportAt = isReporting[other] ? now : now - Base::milliseconds(1500) };
        }
        peers[SteeringFixture::peer(99)]
            = { .failureDomain = "notts", .store = StoreView::Responding, .lastReportAt = now };
        const WatcherChoice choice({ .self = SteeringFixture::peer(self + 1), .failureDomain = "brum" });
        if (isReporting[self] && choice.isWatcher(now, peers, synchronizedAt))
            chosen.push_back(self);
    }
    return chosen;
}

}

TEST_CASE("one entry VM of a failure domain watches the store, and another when it stops reporting")
{
    std::vector<StoreView> views(fleetSize, StoreView::NotWatching);
    std::vector<bool> isReporting(fleetSize, true);
    for (int round = 0; round < 4; ++round) {
        const auto chosen = watchers(views, isReporting);
        REQUIRE(chosen.size() == 1);
        isReporting[chosen[0]] = false;
    }
}

TEST_CASE("an entry VM to which the store does not respond keeps trying while another takes over")
{
    std::vector<StoreView> views(fleetSize, StoreView::NotWatching);
    const std::vector<bool> isReporting(fleetSize, true);
    views[watchers(views, isReporting)[0]] = StoreView::Unresponsive;
    CHECK(watchers(views, isReporting).size() == 2);
}

TEST_CASE("another entry VM takes over while the answer of the store is overdue")
{
    std::vector<StoreView> views(fleetSize, StoreView::NotWatching);
    const std::vector<bool> isReporting(fleetSize, true);
    const auto overdue = watchers(views, isReporting)[0];
    views[overdue] = StoreView::Overdue;
    const auto chosen = watchers(views, isReporting);
    REQUIRE(chosen.size() == 2);
    CHECK(std::ranges::find(chosen, overdue) != chosen.end());
    CHECK(watchers(std::vector<StoreView>(fleetSize, StoreView::Overdue), isReporting).size() == 3);
}

TEST_CASE("while the store responds to no entry VM, only three of a failure domain keep trying")
{
    const std::vector<StoreView> views(fleetSize, StoreView::Unresponsive);
    CHECK(watchers(views, std::vector<bool>(fleetSize, true)).size() == 3);
}

TEST_CASE("an entry VM that does not watch the store relies on the reports of watchers")
{
    Peers peers;
    peers[SteeringFixture::peer(1)] = { .store = StoreView::NotWatching, .lastReportAt = now };
    CHECK(WatcherChoice::isStoreResponding(now, StoreView::NotWatching, peers));
    CHECK_FALSE(WatcherChoice::isStoreResponding(now, StoreView::Unresponsive, peers));
    // An overdue answer alone does not mean that the store is away.
    peers[SteeringFixture::peer(2)] = { .store = StoreView::Overdue, .lastReportAt = now };
    CHECK(WatcherChoice::isStoreResponding(now, StoreView::NotWatching, peers));
    CHECK(WatcherChoice::isStoreResponding(now, StoreView::Overdue, peers));
    peers[SteeringFixture::peer(2)] = { .store = StoreView::Unresponsive, .lastReportAt = now };
    CHECK_FALSE(WatcherChoice::isStoreResponding(now, StoreView::NotWatching, peers));
    peers[SteeringFixture::peer(3)] = { .store = StoreView::Responding, .lastReportAt = now };
    CHECK(WatcherChoice::isStoreResponding(now, StoreView::NotWatching, peers));
    peers[SteeringFixture::peer(3)].lastReportAt = now - Base::milliseconds(1500);
    CHECK_FALSE(WatcherChoice::isStoreResponding(now, StoreView::NotWatching, peers));
}

TEST_CASE("the entry VM with the largest link capacity in a failure domain watches the store")
{
    Peers peers;
    for (uint32_t other = 2; other <= 5; ++other) {
        peers[SteeringFixture::peer(other)]
            = { .failureDomain = "brum", .linkMegabits = other == 4 ? 200U : 10U, .lastReportAt = now };
    }
    const auto chooses = [&](uint64_t link) {
        return WatcherChoice({ .self = SteeringFixture::peer(1), .failureDomain = "brum", .linkMegabits = link })
            .isWatcher(now, peers, synchronizedAt);
    };
    CHECK_FALSE(chooses(10));
    CHECK(chooses(1000));
}

TEST_CASE("after a mass start only the first in rank watches the store, though nobody has reported yet")
{
    uint32_t watcherCount = 0;
    uint32_t laterWatcherCount = 0;
    for (uint32_t self = 0; self < fleetSize; ++self) {
        Peers peers;
        for (uint32_t other = 0; other < fleetSize; ++other) {
            if (other != self)
                peers[SteeringFixture::peer(other + 1)] = { .failureDomain = "brum" };
        }
        const WatcherChoice choice({ .self = SteeringFixture::peer(self + 1), .failureDomain = "brum" });
        watcherCount += choice.isWatcher(now, peers, now - Base::milliseconds(100)) ? 1 : 0;
        laterWatcherCount += choice.isWatcher(now, peers, now - Base::milliseconds(800)) ? 1 : 0;
    }
    CHECK(watcherCount == 1);
    // Peers that are down send no reports; each remaining entry VM then watches until it hears another one.
    CHECK(laterWatcherCount == fleetSize);
}
