// Runs each disturbance alone over many seeds: no invariant may be broken.

#include <FlowDecisions/Differential.h>

using namespace FlowDecisions;

namespace {

constexpr uint64_t plannedSeeds = 15;
constexpr uint64_t faultSeeds = 30;

void checkEach(const std::vector<Disturbance>& disturbances)
{
    for (const auto disturbance : disturbances)
        checkSeeds({ disturbance }, 1, plannedSeeds);
}

}

TEST_CASE("Configuration changes break no invariant", "[alone-configuration]") { checkEach(configurationChanges()); }

TEST_CASE("Taking out a backend server or domain ends only its own flows", "[alone-out]") { checkEach(outages()); }

TEST_CASE("Balancers leaving and joining break no invariant", "[alone-balancers]") { checkEach(balancerChanges()); }

TEST_CASE("Packet and control message faults break no invariant", "[alone-network]") { checkEach(networkFaults()); }

TEST_CASE("A balancer failure and restart without state break no invariant", "[alone-kill]")
{
    checkSeeds({ Disturbance::BalancerKill }, 1, faultSeeds);
}

TEST_CASE("A paused and resumed balancer breaks no invariant", "[alone-pause]")
{
    checkSeeds({ Disturbance::BalancerPause }, 1, faultSeeds);
}

TEST_CASE("A partitioned failure domain breaks no invariant", "[alone-partition]")
{
    checkSeeds({ Disturbance::Partition }, 1, faultSeeds);
}

TEST_CASE("An unreported restart of a backend server breaks no invariant", "[alone-restart]")
{
    checkSeeds({ Disturbance::SilentRestart }, 1, faultSeeds);
}

TEST_CASE("False reports break no invariant", "[alone-lying]")
{
    checkSeeds({ Disturbance::LyingReports }, 1, faultSeeds);
}
