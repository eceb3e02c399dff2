#include "SimulatedEntryVms.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace Times = Steering::DisseminationTimes;
using Base::milliseconds;

namespace {

/// The smallest times of any deployment in which a change has to be in force, from the store's acknowledgement. All
/// kinds of records pass the same way.
constexpr milliseconds configurationBound { 3000 };
constexpr milliseconds drainingBound { 3000 };
constexpr milliseconds evacuationBound { 5000 };
constexpr milliseconds inForce = std::min({ configurationBound, drainingBound, evacuationBound });
constexpr milliseconds margin { 500 };

/// Allowances for steps without a constant of their own, on an entry VM that waits for its CPU quota.
constexpr milliseconds storeAnswer { 100 };
constexpr milliseconds relayAnswer { 100 };
constexpr milliseconds apply { 50 };

/// A change of the store's view or of the revision is reported at once; if that report is lost, by the next.
constexpr milliseconds report = Times::nearReportInterval;
constexpr milliseconds relay = report + relayAnswer + apply;
/// A watcher that takes over learns that the history is gone, and reads all records in pages.
constexpr milliseconds completeRead = 3 * storeAnswer;
constexpr milliseconds lostRead = Times::readTolerance + Times::roleCheckInterval;
constexpr milliseconds lostWatch = Times::watchTimeout + Times::answerTolerance + Times::roleCheckInterval;

/// The latest time from an acknowledgement until all of the given entry VMs know the change.
milliseconds timeToReach(
    SimulatedEntryVms& vms, const std::function<bool(const SimulatedEntryVms::Node&)>& isExpected, milliseconds limit)
{
    vms.acknowledgeChange();
    const auto acknowledgedAt = vms.now();
    auto latest = acknowledgedAt;
    vms.advance(limit);
    for (const auto& node : vms.nodes()) {
        if (!isExpected(node))
            continue;
        if (node.revisionAt < acknowledgedAt)
            return limit;
        latest = std::max(latest, node.revisionAt);
    }
    return std::chrono::ceil<milliseconds>(latest - acknowledgedAt);
}

bool isInTouch(const SimulatedEntryVms::Node& node) { return node.path == StorePath::Whole; }

/// Cuts the watchers of all failure domains off and acknowledges a change at several times of their watch.
void cutWatchersOff(const SimulatedEntryVms::Options& options)
{
    SimulatedEntryVms vms(options);
    vms.advance(milliseconds(5000 + 137 * static_cast<int64_t>(options.seed)));
    for (auto& node : vms.nodes()) {
        if (node.isWatching)
            node.path = StorePath::Silent;
    }
    vms.advance(milliseconds(30));
    CHECK(timeToReach(vms, isInTouch, milliseconds(6000)) <= inForce - margin);
}

}

// Guards against constants whose sum lets a dropped route stay in use for longer than the bound.
TEST_CASE("a lost watch is replaced and a change relayed within the bound")
{
    CHECK(lostWatch + report + storeAnswer + relay <= inForce - margin);
}

// Guards against the time that two failed reads take before another entry VM watches.
TEST_CASE("a lost read of all records is replaced and a change relayed within the bound")
{
    CHECK(lostRead + report + completeRead + relay <= inForce - margin);
    // The connection may fall silent between a watch and the read that follows on it.
    CHECK(lostWatch + report + completeRead + relay <= inForce - margin);
}

// Guards against a change that waits for entry VMs that pause between failed calls while the store comes back.
TEST_CASE("a change is relayed within the bound after an outage, also if the store's era has risen")
{
    CHECK(Times::longestCallPause + storeAnswer + completeRead + relay <= inForce - margin);
}

// Guards against a watcher that ends or is cut off from its peers, and that no sum of times covers.
TEST_CASE("a watcher that no longer reports is replaced and a change relayed within the bound")
{
    CHECK(Times::watcherReportTimeout + Times::roleCheckInterval + storeAnswer + relay <= inForce - margin);
    CHECK(Times::watcherReportTimeout + Times::roleCheckInterval + completeRead + relay <= inForce - margin);
}

TEST_CASE("a change is relayed within the bound though the next in rank cannot reach the store either")
{
    constexpr auto secondWatch = Times::firstWatchTimeout + Times::answerTolerance + Times::roleCheckInterval;
    CHECK(lostWatch + report + secondWatch + report + storeAnswer + relay <= inForce);
}

TEST_CASE("a change is relayed within the bound though two connections between entry VMs are silent")
{
    constexpr auto failedFetch = Times::relayStepTimeout + report;
    CHECK(Times::changeBatchingInterval + storeAnswer + relay + 2 * failedFetch <= inForce - margin);
    // While the watcher was replaced, too, one connection may be silent.
    CHECK(lostWatch + report + storeAnswer + relay + failedFetch <= inForce);
}

TEST_CASE("a fetch from another failure domain is within the bound, also after a silent connection")
{
    constexpr auto farReport = 4 * Times::nearReportInterval;
    CHECK(Times::changeBatchingInterval + storeAnswer + farReport + Times::farRelayDelay + relayAnswer + apply
            + Times::relayStepTimeout + report
        <= inForce - margin);
}

// Guards against a watcher that is cut off silently and counts as responding.
TEST_CASE("entry VMs in touch know a change in time while the watchers of all failure domains are cut off silently")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        cutWatchersOff({ .seed = seed });
    }
}

TEST_CASE("one report in ten may be lost while the watchers are cut off silently")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        cutWatchersOff({ .seed = seed, .lostReports = 100 });
    }
}

TEST_CASE("the two first entry VMs of each failure domain are cut off silently")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        SimulatedEntryVms vms({ .entryVmsPerDomain = 4, .seed = seed });
        vms.advance(milliseconds(5000 + 137 * static_cast<int64_t>(seed)));
        std::map<std::string, std::vector<std::pair<Steering::PeerTopology::Rank, SimulatedEntryVms::Node*>>> domains;
        for (auto& node : vms.nodes())
            domains[node.domain].emplace_back(Steering::PeerTopology::rankOf(node.id, 0), &node);
        for (auto& [domain, ranked] : domains) {
            std::ranges::sort(ranked);
            ranked[0].second->path = StorePath::Silent;
            ranked[1].second->path = StorePath::Silent;
        }
        CHECK(timeToReach(vms, isInTouch, milliseconds(6000)) <= inForce);
    }
}

TEST_CASE("a cut that heals is followed by one change of watcher and one back")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        SimulatedEntryVms vms({ .domains = 1, .seed = seed });
        vms.advance(milliseconds(5000 + 137 * static_cast<int64_t>(seed)));
        REQUIRE(vms.watchersOf("domain-0").size() == 1);
        auto& cutOff = *vms.watchersOf("domain-0").front();
        const auto changesBefore = cutOff.viewChanges;
        cutOff.path = StorePath::Silent;
        vms.advance(milliseconds(2000));
        REQUIRE(vms.watchersOf("domain-0").size() == 2);
        vms.acknowledgeChange();
        vms.advance(milliseconds(100));
        cutOff.path = StorePath::Whole;
        const auto revision = cutOff.revision;
        vms.advance(milliseconds(8000));
        CHECK(cutOff.revision >= revision);
        CHECK(cutOff.view == Steering::StoreView::Responding);
        REQUIRE(vms.watchersOf("domain-0").size() == 1);
        CHECK(vms.watchersOf("domain-0").front() == &cutOff);
        // From responding to overdue, perhaps to unresponsive, and back.
        CHECK(cutOff.viewChanges - changesBefore <= 3);
        CHECK(timeToReach(vms, isInTouch, milliseconds(2000)) <= milliseconds(500));
    }
}

TEST_CASE("a watcher whose answers are late is replaced without a change to and fro")
{
    SimulatedEntryVms vms({ .domains = 1 });
    vms.advance(milliseconds(5000));
    auto& slow = *vms.watchersOf("domain-0").front();
    slow.path = StorePath::Slow;
    vms.advance(milliseconds(5000));
    const auto changes = slow.viewChanges;
    const auto callsBefore = vms.calls();
    vms.advance(milliseconds(30'000));
    CHECK(slow.viewChanges == changes);
    CHECK(slow.view == Steering::StoreView::Overdue);
    // Two watchers, each with a watch at a time.
    CHECK(vms.calls() - callsBefore <= 2 * 30'000 / Times::watchTimeout.count() + 2);
    CHECK(timeToReach(vms, isInTouch, milliseconds(3000)) <= milliseconds(500));
}

TEST_CASE("entry VMs that the store refuses are passed over")
{
    SimulatedEntryVms vms({ .domains = 2, .entryVmsPerDomain = 4 });
    vms.advance(milliseconds(5000));
    for (const auto* domain : { "domain-0", "domain-1" })
        vms.watchersOf(domain).front()->path = StorePath::Refusing;
    vms.advance(milliseconds(1000));
    CHECK(vms.watchersOf("domain-0").size() == 2);
    CHECK(timeToReach(
              vms, [](const auto&) { return true; }, milliseconds(3000))
        <= milliseconds(1000));
}

TEST_CASE("while the store is silent to all, three entry VMs of each failure domain keep trying")
{
    SimulatedEntryVms vms({ .domains = 2, .entryVmsPerDomain = 8 });
    vms.advance(milliseconds(5000));
    for (auto& node : vms.nodes())
        node.path = StorePath::Silent;
    vms.advance(milliseconds(8000));
    const auto callsBefore = vms.calls();
    vms.advance(milliseconds(20'000));
    CHECK(vms.watchersOf("domain-0").size() == 3);
    CHECK(vms.watchersOf("domain-1").size() == 3);
    // Each makes one call in the time-out and the longest back-off.
    CHECK(vms.calls() - callsBefore <= 6 * (20'000 / 1800 + 1));
    for (auto& node : vms.nodes())
        node.path = StorePath::Whole;
    CHECK(timeToReach(vms, isInTouch, milliseconds(6000)) <= inForce);
    vms.advance(milliseconds(3000));
    CHECK(vms.watchersOf("domain-0").size() == 1);
}

TEST_CASE("entry VMs whose connection to the watcher is silent learn of a change from another peer")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        SimulatedEntryVms vms({ .domains = 1, .entryVmsPerDomain = 4, .seed = seed });
        vms.advance(milliseconds(5000));
        const auto watcher = vms.watchersOf("domain-0").front()->id;
        std::size_t silent = 0;
        for (const auto& node : vms.nodes()) {
            if (node.id != watcher && silent++ < 2)
                vms.silenceRelay(node.id, watcher);
        }
        CHECK(timeToReach(vms, isInTouch, milliseconds(6000)) <= milliseconds(1500));
    }
}
