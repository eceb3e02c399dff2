#include "FlowMeasure.h"
#include "FlowMeasurements.h"

namespace Measure {

namespace {

    using FlowBench::Bench;

    void loseOne(Bench& bench, uint64_t& flowsAtLoss)
    {
        bench.callers().start();
        bench.run(Base::seconds(20));
        bench.setWeight(bench.serverIds().front(), 40);
        bench.run(Base::seconds(3));
        flowsAtLoss = bench.callers().established();
        bench.killBalancer(2);
        bench.run(Base::seconds(12));
        bench.startBalancer(2);
        bench.run(Base::seconds(25));
    }

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "balancer_loss");
        uint64_t flowsAtLoss = 0;
        runWithEachDecider(
            request, [](Bench::Options&) {}, [&](Bench& bench) { loseOne(bench, flowsAtLoss); },
            [&](Bench& bench, Decider decider) {
                figures.count(bench, "flows", flowsAtLoss, decider);
                figures.count(bench, "broken", brokenTotal(bench), decider);
                figures.count(bench, "not_established", bench.counts().notEstablished, decider);
                figures.count(bench, "refused", bench.counts().refused, decider);
                addInvariants(figures, bench, decider);
            },
            { Decider::Real, Decider::Naive, Decider::Reference });
        boundInvariants(figures);
        return figures.finish();
    }

}

Measurement balancerLoss()
{
    return {
        .name = "balancer-loss", .summary = "flows broken when one balancer of four dies and returns empty", .run = run
    };
}

}
