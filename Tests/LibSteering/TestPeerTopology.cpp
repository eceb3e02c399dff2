#include "Fixture.h"

#include <LibSteering/Process/PeerTopology.h>
#include <LibSteering/Process/WatcherChoice.h>
#include <catch2/catch.hpp>
#include <queue>
#include <set>

using Steering::PeerLoads;
using Steering::PeerTopology;

namespace {

using Peers = std::unordered_map<Base::EntryVmId, PeerLoads::Peer>;

constexpr uint32_t domainCount = 4;
const auto now = Base::TimePoint {} + Base::milliseconds(60'000);

std::string domainOf(uint32_t entryVm) { return "domain-" + std::to_string(entryVm % domainCount); }

/// The report targets of each entry VM of a fleet.
std::vector<std::set<uint32_t>> reportGraph(uint32_t size, std::vector<std::size_t>* nearCounts = nullptr)
{
    Peers all;
    std::unordered_map<Base::EntryVmId, uint32_t> numbers;
    for (uint32_t entryVm = 0; entryVm < size; ++entryVm) {
        const auto id = SteeringFixture::peer(entryVm + 1);
        all[id] = { .failureDomain = domainOf(entryVm), .linkMegabits = entryVm % 10 == 0 ? 200U : 10U };
        numbers[id] = entryVm;
    }
    std::vector<std::set<uint32_t>> targets(size);
    for (uint32_t entryVm = 0; entryVm < size; ++entryVm) {
        const auto id = SteeringFixture::peer(entryVm + 1);
        const auto self = all.extract(id);
        const auto link = self.mapped().linkMegabits;
        PeerTopology topology({ .self = id, .failureDomain = domainOf(entryVm), .linkMegabits = link });
        topology.update(all);
        for (const auto target : topology.ownDomainTargets())
            targets[entryVm].insert(numbers.at(target));
        for (const auto target : topology.otherDomainTargets())
            targets[entryVm].insert(numbers.at(target));
        if (nearCounts != nullptr)
            nearCounts->push_back(topology.ownDomainTargets().size());
        all[id] = self.mapped();
    }
    return targets;
}

/// Entry VMs of one domain that become watchers once they have received the reports sent to them.
std::vector<uint32_t> watchersOf(
    const std::vector<std::set<uint32_t>>& targets, const std::string& domain, const std::set<uint32_t>& failed)
{
    std::vector<uint32_t> watchers;
    for (uint32_t self = 0; self < targets.size(); ++self) {
        if (domainOf(self) != domain || failed.contains(self))
            continue;
        Peers reportingPeers;
        for (uint32_t other = 0; other < targets.size(); ++other) {
            if (targets[other].contains(self) && !failed.contains(other))
                reportingPeers[SteeringFixture::peer(other + 1)] = {
                    .failureDomain = domainOf(other), .linkMegabits = other % 10 == 0 ? 200U : 10U, .lastReportAt = now
                };
        }
        const Steering::WatcherChoice choice({ .self = SteeringFixture::peer(self + 1),
            .failureDomain = domain,
            .linkMegabits = self % 10 == 0 ? 200U : 10U });
        if (choice.isWatcher(now, reportingPeers, now - Base::milliseconds(50'000)))
            watchers.push_back(self);
    }
    return watchers;
}

}

TEST_CASE("in a small fleet all entry VMs report to each other")
{
    const auto targets = reportGraph(33);
    for (const auto& peers : targets)
        CHECK(peers.size() == 32);
    CHECK(watchersOf(targets, "domain-0", {}).size() == 1);
}

TEST_CASE("with 3400 entry VMs report targets stay bounded, and one entry VM of each domain watches the store")
{
    constexpr uint32_t fleet = 3400;
    std::vector<std::size_t> nearCounts;
    const auto targets = reportGraph(fleet, &nearCounts);
    // A report takes about 100 bytes; 25 kB/s of control traffic allow reports to 60 peers four times a second.
    for (const auto& peers : targets)
        CHECK(peers.size() <= 60);
    for (uint32_t domain = 0; domain < domainCount; ++domain)
        CHECK(watchersOf(targets, domainOf(domain), {}).size() == 1);

    SECTION("updates from any domain's entry VMs reach all others in at most six hops")
    {
        for (const uint32_t origin : { 0U, 1U, 2U, 3U }) {
            std::vector<int> hops(fleet, -1);
            std::queue<uint32_t> queue({ origin });
            hops[origin] = 0;
            int maximumHops = 0;
            while (!queue.empty()) {
                const auto at = queue.front();
                queue.pop();
                maximumHops = std::max(maximumHops, hops[at]);
                for (const auto next : targets[at]) {
                    if (hops[next] < 0) {
                        hops[next] = hops[at] + 1;
                        queue.push(next);
                    }
                }
            }
            CHECK(std::ranges::find(hops, -1) == hops.end());
            // With 400 ms between reports, six hops fit well into nine seconds.
            CHECK(maximumHops <= 6);
        }
    }

    SECTION("when the watcher fails, 1 to 16 entry VMs take over until it is unlisted, never a whole domain")
    {
        const auto watcher = watchersOf(targets, "domain-0", {}).front();
        const auto maximumSubstitutes = watchersOf(targets, "domain-0", { watcher }).size();
        CHECK(maximumSubstitutes >= 1);
        CHECK(maximumSubstitutes <= 16);
    }
}

TEST_CASE_METHOD(SteeringFixture,
    "in a partitioned domain new flows go to the own cell's servers, then to the domain's, then elsewhere")
{
    configure();
    for (uint32_t host = 2; host <= 200; ++host)
        decider_.handle(now_, Steering::PeerListed { .peer = peer(host), .failureDomain = "brum" });
    advance(milliseconds(300));
    const auto& topology = decider_.topology();
    REQUIRE(topology.cellCount() > 1);
    uint64_t own = 1;
    while (!topology.isLoadKnown(number(own), true))
        ++own;
    uint64_t other = 1;
    while (topology.isLoadKnown(number(other), true))
        ++other;
    listServer(own);
    listServer(other);
    listServer(900'000, "notts");
    CHECK(sendFirst(1).number == number(own));
    CHECK(sendFirst(2).number == number(own));
    // Two slots are in use: now the domain's other server is as good.
    CHECK(sendFirst(3).number != number(900'000));
    CHECK(sendFirst(4).number != number(900'000));
}
