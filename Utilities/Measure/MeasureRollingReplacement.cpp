#include "FlowMeasure.h"
#include "FlowMeasurements.h"

namespace Measure {

namespace {

    using FlowBench::Bench;

    /// Each balancer in turn leaves gracefully and is restarted without flow state.
    void replaceAll(Bench& bench)
    {
        bench.callers().start();
        bench.run(Base::seconds(10));
        for (std::size_t i = 0; i < bench.balancerCount(); ++i) {
            bench.leaveBalancer(i);
            bench.run(Base::seconds(12));
            if (bench.balancer(i).isUp())
                bench.killBalancer(i);
            bench.startBalancer(i);
            bench.run(Base::seconds(3));
        }
        bench.run(Base::seconds(10));
    }

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "rolling_replacement");
        runWithEachDecider(
            request, [](Bench::Options&) {}, replaceAll,
            [&](Bench& bench, Decider decider) {
                figures.count(bench, "flows", bench.counts().flows, decider);
                figures.count(bench, "broken", brokenTotal(bench), decider);
                figures.count(bench, "not_established", bench.counts().notEstablished, decider);
                figures.count(bench, "refused", bench.counts().refused, decider);
                addInvariants(figures, bench, decider);
            },
            { Decider::Real, Decider::Naive, Decider::Reference });
        figures.boundAtMost("broken", 0);
        boundInvariants(figures);
        return figures.finish();
    }

}

Measurement rollingReplacement()
{
    return { .name = "rolling-replacement", .summary = "every balancer in turn leaves and returns empty", .run = run };
}

}
