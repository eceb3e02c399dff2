// Regression tests: scenarios that once broke an invariant, named after the cause.

#include <FlowDecisions/Differential.h>

using namespace FlowDecisions;

TEST_CASE("A datagram of a flow whose bucket has moved is not treated as a first packet", "[named]")
{
    checkSeeds({ Disturbance::Drain }, 1, 1);
}

TEST_CASE("An owner without a record forwards to the owner by the newer revision", "[named]")
{
    checkSeeds({ Disturbance::DomainMove }, 4, 1);
}

TEST_CASE("An exception of a leaving balancer is copied to its successor", "[named]")
{
    checkSeeds({ Disturbance::BalancerLeave }, 4, 1);
}

TEST_CASE("A balancer restarted without state queries the interim owner", "[named]")
{
    checkSeeds({ Disturbance::BalancerKill }, 4, 1);
}

TEST_CASE("A first packet queued on one side of a partition is not refused as not run", "[named]")
{
    checkSeeds({ Disturbance::Partition }, 4, 1);
}
