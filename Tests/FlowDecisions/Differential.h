#pragma once

#include <LibFlowBench/Factories.h>
#include <LibFlowBench/RandomScenario.h>
#include <LibFlowBench/Summary.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace FlowDecisions {

using FlowBench::Disturbance;

/// Configuration changes that end no flow.
inline std::vector<Disturbance> configurationChanges()
{
    return { Disturbance::Drain, Disturbance::WeightChange, Disturbance::ScaleOut, Disturbance::UnevenConfiguration };
}

/// Changes that end the flows of a backend server or a failure domain.
inline std::vector<Disturbance> outages() { return { Disturbance::BackendServerOut, Disturbance::DomainMove }; }

/// Balancers joining and leaving.
inline std::vector<Disturbance> balancerChanges() { return { Disturbance::BalancerLeave, Disturbance::BalancerJoin }; }

/// Network faults that affect packets and control messages.
inline std::vector<Disturbance> networkFaults()
{
    return { Disturbance::PacketLoss, Disturbance::PacketDuplication, Disturbance::PacketReordering,
        Disturbance::ControlLoss, Disturbance::ControlDelay };
}

/// Returns the names, for example "drain + partition".
inline std::string describe(const std::vector<Disturbance>& disturbances)
{
    std::string text;
    for (const auto disturbance : disturbances)
        text.append(text.empty() ? "" : " + ").append(toString(disturbance));
    return text;
}

/// Runs one random scenario with the real decider.
inline FlowBench::Counts runReal(uint64_t seed, const std::vector<Disturbance>& disturbances)
{
    FlowBench::RandomScenario scenario(seed, disturbances);
    FlowBench::Bench bench(scenario.options(Flow::FlowDecider::create));
    scenario.run(bench);
    return bench.counts();
}

/// Runs the same scenario with the reference decider, which has global knowledge.
inline FlowBench::Counts runReference(uint64_t seed, const std::vector<Disturbance>& disturbances)
{
    FlowBench::RandomScenario scenario(seed, disturbances);
    FlowBench::Bench bench(scenario.options(FlowBench::referenceFactory()));
    scenario.run(bench);
    return bench.counts();
}

/// Returns the invariants that the real decider breaks, unless the reference decider breaks the same ones in the same
/// scenario; empty if there are none.
inline std::string difference(uint64_t seed, const std::vector<Disturbance>& disturbances, std::string& summary)
{
    const bool mayOverRamp
        = std::find(disturbances.begin(), disturbances.end(), Disturbance::SilentRestart) != disturbances.end();
    const auto real = runReal(seed, disturbances);
    auto broken = brokenInvariants(real, mayOverRamp);
    if (broken.empty())
        return {};
    summary = summarize(real);
    if (brokenInvariants(runReference(seed, disturbances), mayOverRamp) == broken)
        return {};
    return broken;
}

/// Checks a range of seeds of one combination.
inline void checkSeeds(const std::vector<Disturbance>& disturbances, uint64_t firstSeed, uint64_t seeds)
{
    for (uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        std::string summary;
        const auto broken = difference(seed, disturbances, summary);
        INFO(describe(disturbances) << " seed " << seed << ": " << summary);
        CHECK(broken == "");
    }
}

}
