// Runs two disturbances at once over many seeds: no invariant may be broken.

#include <FlowDecisions/Differential.h>

using namespace FlowDecisions;

namespace {

constexpr uint64_t plannedSeeds = 3;
constexpr uint64_t faultSeeds = 4;

void checkPairs(const std::vector<Disturbance>& firsts, const std::vector<Disturbance>& seconds)
{
    for (const auto first : firsts) {
        for (const auto second : seconds) {
            if (first < second)
                checkSeeds({ first, second }, 100, plannedSeeds);
        }
    }
}

void checkPairsWith(Disturbance fault)
{
    for (std::size_t i = 0; i < FlowBench::disturbanceCount; ++i) {
        const auto other = static_cast<Disturbance>(i);
        if (other != fault)
            checkSeeds({ fault, other }, 1000 + 10 * i, faultSeeds);
    }
}

}

TEST_CASE("Two configuration changes or network faults, or one of each, break no invariant", "[pairs-configuration]")
{
    checkPairs(configurationChanges(), configurationChanges());
    checkPairs(configurationChanges(), networkFaults());
    checkPairs(networkFaults(), networkFaults());
}

TEST_CASE("Taking out a backend server or domain with another change or fault ends only its own flows", "[pairs-out]")
{
    checkPairs(outages(), outages());
    checkPairs(outages(), networkFaults());
    checkPairs(configurationChanges(), outages());
}

TEST_CASE("Balancers leaving and joining with another change or fault break no invariant", "[pairs-balancers]")
{
    checkPairs(configurationChanges(), balancerChanges());
    checkPairs(balancerChanges(), networkFaults());
    checkPairs(balancerChanges(), balancerChanges());
    checkPairs(balancerChanges(), { Disturbance::DomainMove });
}

TEST_CASE("A balancer failure with any other disturbance breaks no invariant", "[pairs-kill]")
{
    checkPairsWith(Disturbance::BalancerKill);
}

TEST_CASE("A paused balancer with any other disturbance breaks no invariant", "[pairs-pause]")
{
    checkPairsWith(Disturbance::BalancerPause);
}

TEST_CASE("A partition with any other disturbance breaks no invariant", "[pairs-partition]")
{
    checkPairsWith(Disturbance::Partition);
}

TEST_CASE("An unreported restart of a backend server with any other disturbance breaks no invariant", "[pairs-restart]")
{
    checkPairsWith(Disturbance::SilentRestart);
}

TEST_CASE("False reports with any other disturbance break no invariant", "[pairs-lying]")
{
    checkPairsWith(Disturbance::LyingReports);
}
