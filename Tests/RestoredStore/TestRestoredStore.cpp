// Whole entry VMs while the store goes away for a moment and comes back from a copy.

#include <EntryProcesses/SimulatedFleet.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <platform/RecordDecoder.h>

namespace {

using Base::milliseconds;

constexpr milliseconds conditionTimeout { 10'000 };
constexpr milliseconds outage { 500 };
constexpr uint16_t extraPort = 9100;
/// Entry VMs pause at least as long between failed calls to the store.
constexpr milliseconds shortestPause { 100 };
constexpr milliseconds observed { 3000 };

class RestoredFleet : public SimulatedFleet {
public:
    explicit RestoredFleet(uint64_t seed)
        : SimulatedFleet({ .seed = seed, .entryVmsPerZone = 1, .serversPerZone = 3 })
    {
    }

    /// The store goes away, which counts as a disturbance, and comes back from the copy that was kept last.
    void restoreStore()
    {
        deployment().setStoreFault({ .resetsConnections = true });
        invariants().markAllDisturbed(deployment().loop().now());
        runFor(outage);
        invariants().markAllDisturbed(deployment().loop().now());
        deployment().records().restoreCopy();
        deployment().setStoreFault({});
    }

    /// Whether all entry VMs hold the newest configuration.
    bool isConfigurationInForce()
    {
        for (std::size_t index = 0; index < deployment().entryVmCount(); ++index) {
            if (configurationVersion(index) != deployment().configurationVersion())
                return false;
        }
        return true;
    }

    uint64_t callCount()
    {
        uint64_t calls = 0;
        for (const auto& entryVm : deployment().entryVms())
            calls += entryVm.store->callCount();
        return calls;
    }

    /// The record by which an entry VM is registered in the store.
    const StandIn::RecordStore::Item* registration(std::size_t index)
    {
        const auto id = Base::EntryVmId::fromEndpoint(deployment().process(index).options().advertised);
        return deployment().records().find(Platform::entryVmKey(id));
    }

private:
    uint64_t configurationVersion(std::size_t index)
    {
        Http::HttpClient client({ .server = deployment().process(index).options().metrics });
        const auto response = Base::capture([&] { return client.call({ .target = "/metrics" }, milliseconds(2000)); });
        const std::string name = "\neelgrasshatch_configuration_version ";
        const auto at = response.isOk() ? response.value->body.find(name) : std::string::npos;
        return at != std::string::npos ? std::stoull(response.value->body.substr(at + name.size())) : 0;
    }
};

}

// Guards against changes that are skipped because their revision was given out before, for another change.
TEST_CASE("a configuration whose revision the store gives out again comes into force on all entry VMs")
{
    RestoredFleet fleet(12);
    auto& deployment = fleet.deployment();
    deployment.addRoute(extraPort);
    deployment.records().keepCopy();
    deployment.writeConfiguration();
    deployment.writeConfiguration();
    REQUIRE(fleet.runUntil(conditionTimeout, [&] { return fleet.isConfigurationInForce(); }));
    const auto revision = deployment.records().revision();
    fleet.restoreStore();
    deployment.rewriteConfiguration();
    deployment.removeRoute(extraPort);
    REQUIRE(deployment.records().revision() == revision);
    CHECK(fleet.runUntil(conditionTimeout, [&] { return fleet.isConfigurationInForce(); }));
    for (const auto& violation : fleet.invariants().violations())
        UNSCOPED_INFO(violation);
    CHECK(fleet.invariants().violations().empty());
    CHECK(deployment.unexpectedExits().empty());
}

// Guards against the same after two returns, the second to a copy that is older than the first return.
TEST_CASE("a configuration comes into force after the store has come back from the same copy twice")
{
    RestoredFleet fleet(13);
    auto& deployment = fleet.deployment();
    deployment.records().keepCopy();
    deployment.writeConfiguration();
    fleet.restoreStore();
    deployment.rewriteConfiguration();
    deployment.writeConfiguration();
    REQUIRE(fleet.runUntil(conditionTimeout, [&] { return fleet.isConfigurationInForce(); }));
    fleet.restoreStore();
    deployment.rewriteConfiguration();
    deployment.writeConfiguration();
    CHECK(fleet.runUntil(conditionTimeout, [&] { return fleet.isConfigurationInForce(); }));
    CHECK(deployment.unexpectedExits().empty());
}

// Guards against a loop of calls while the restored store's revision is behind the one that entry VMs know.
TEST_CASE("entry VMs do not call a restored store without pause while its revision is low")
{
    RestoredFleet fleet(14);
    auto& deployment = fleet.deployment();
    deployment.records().keepCopy();
    for (int change = 0; change < 50; ++change)
        deployment.writeConfiguration();
    REQUIRE(fleet.runUntil(conditionTimeout, [&] { return fleet.isConfigurationInForce(); }));
    fleet.restoreStore();
    const auto callsBefore = fleet.callCount();
    fleet.runFor(observed);
    CHECK(fleet.callCount() - callsBefore <= deployment.entryVmCount() * (observed / shortestPause));
    deployment.rewriteConfiguration();
    CHECK(fleet.runUntil(conditionTimeout, [&] { return fleet.isConfigurationInForce(); }));
}

// Guards against entry VMs that stay without a record, or hold a lease that the store has given to another one.
TEST_CASE("entry VMs whose leases a restored store does not know register again under leases of their own")
{
    RestoredFleet fleet(15);
    auto& deployment = fleet.deployment();
    const auto leaseBefore = fleet.registration(0)->lease;
    deployment.records().keepCopy();
    deployment.invariants().markAllDisturbed(deployment.loop().now());
    deployment.entryVms()[0].isExitExpected = true;
    deployment.process(0).signal(SIGKILL);
    REQUIRE(fleet.runUntil(conditionTimeout, [&] { return fleet.registration(0)->lease != leaseBefore; }));
    fleet.restoreStore();
    // The lease that entry VM 0 holds is given out again.
    REQUIRE(fleet.registration(0)->lease == leaseBefore);
    const auto sameLease = deployment.records().grantLease(deployment.loop().now(), milliseconds(600'000));
    const auto areRegisteredAgain = [&] {
        std::vector<uint64_t> leases;
        for (std::size_t index = 0; index < deployment.entryVmCount(); ++index) {
            const auto* record = fleet.registration(index);
            leases.push_back(record != nullptr ? record->lease : sameLease);
        }
        const bool isNew = leases.front() > sameLease;
        std::ranges::sort(leases);
        return isNew && std::ranges::adjacent_find(leases) == leases.end();
    };
    CHECK(fleet.runUntil(conditionTimeout, areRegisteredAgain));
    CHECK(deployment.unexpectedExits().empty());
}

TEST_CASE("a store that states no era, or none that can be read, is followed")
{
    const std::string statedEra = GENERATE("", "x", "-1", "1.5", "18446744073709551616");
    CAPTURE(statedEra);
    RestoredFleet fleet(16);
    auto& deployment = fleet.deployment();
    deployment.setStoreFault({ .statedEra = statedEra });
    deployment.writeConfiguration();
    CHECK(fleet.runUntil(conditionTimeout, [&] { return fleet.isConfigurationInForce(); }));
    CHECK(deployment.unexpectedExits().empty());
}

// Guards against a late answer of the store from before its return.
TEST_CASE("answers that state an earlier era change nothing")
{
    RestoredFleet fleet(17);
    auto& deployment = fleet.deployment();
    deployment.records().keepCopy();
    fleet.restoreStore();
    deployment.writeConfiguration();
    REQUIRE(fleet.runUntil(conditionTimeout, [&] { return fleet.isConfigurationInForce(); }));
    deployment.setStoreFault({ .statedEra = "1" });
    deployment.writeConfiguration();
    const auto callsBefore = fleet.callCount();
    fleet.runFor(observed);
    CHECK_FALSE(fleet.isConfigurationInForce());
    CHECK(fleet.callCount() - callsBefore <= deployment.entryVmCount() * (observed / shortestPause));
    deployment.setStoreFault({});
    CHECK(fleet.runUntil(conditionTimeout, [&] { return fleet.isConfigurationInForce(); }));
    CHECK(deployment.unexpectedExits().empty());
}
