#include "FlowMeasure.h"
#include "FlowMeasurements.h"

namespace Measure {

namespace {

    using Configuration::BackendServerState;
    using FlowBench::Bench;
    using FlowBench::BreakCause;

    /// Applies every kind of planned change, one after the other, under steady load.
    void applyPlannedChanges(Bench& bench)
    {
        const auto& deployment = bench.deployment();
        const auto servers = bench.serverIds();
        bench.callers().start();
        bench.run(Base::seconds(5));
        bench.setBackendServerState(servers[0], BackendServerState::Draining);
        bench.run(Base::seconds(6));
        bench.setWeight(servers[1], 30);
        bench.run(Base::seconds(4));
        bench.scaleOut(deployment.loads.front().service, 1);
        bench.run(Base::seconds(8));
        bench.setBackendServerState(servers[0], BackendServerState::Active);
        bench.setBackendServerState(servers[2], BackendServerState::Draining);
        bench.run(Base::seconds(6));
        bench.leaveBalancer(1);
        bench.run(Base::seconds(12));
        bench.startBalancer(1);
        bench.run(Base::seconds(5));
        bench.setWeight(servers[1], 100);
        bench.setBackendServerState(servers[2], BackendServerState::Active);
        bench.run(Base::seconds(8));
    }

    void collect(FlowFigures& figures, Bench& bench, Decider decider)
    {
        const auto& counts = bench.counts();
        const auto add
            = [&](const std::string& figure, uint64_t value) { figures.count(bench, figure, value, decider); };
        add("flows", counts.flows);
        add("established", counts.established);
        add("broken_planned", brokenBy(bench, BreakCause::Planned));
        add("not_established", counts.notEstablished);
        add("refused", counts.refused);
        addInvariants(figures, bench, decider);
    }

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "continuity");
        runWithEachDecider(
            request,
            [](Bench::Options& options) {
                options.faults = { .loss = 0.0005, .duplication = 0.002, .reordering = 0.02 };
            },
            applyPlannedChanges, [&](Bench& bench, Decider decider) { collect(figures, bench, decider); },
            { Decider::Real, Decider::Naive, Decider::Reference });
        figures.boundAtMost("broken_planned", 0);
        boundInvariants(figures);
        return figures.finish();
    }

}

Measurement continuity()
{
    return { .name = "continuity", .summary = "flows broken by planned changes, and the invariants", .run = run };
}

}
