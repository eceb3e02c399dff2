#include "FlowMeasure.h"
#include "FlowMeasurements.h"

namespace Measure {

namespace {

    using FlowBench::Bench;
    using FlowBench::BreakCause;

    void cutOff(Bench& bench)
    {
        bench.callers().start();
        bench.run(Base::seconds(10));
        bench.isolateDomain(1);
        bench.run(Base::seconds(4));
        bench.setWeight(bench.serverIds().front(), 50);
        bench.run(Base::seconds(8));
        bench.healPartitions();
        bench.run(Base::seconds(25));
    }

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "partition");
        runWithEachDecider(
            request, [](Bench::Options&) {}, cutOff,
            [&](Bench& bench, Decider decider) {
                figures.count(bench, "flows", bench.counts().flows, decider);
                figures.count(bench, "broken", brokenTotal(bench), decider);
                figures.count(bench, "not_established", bench.counts().notEstablished, decider);
                for (std::size_t i = 0; i < bench.classes().size(); ++i)
                    figures.ratio(bench, "answered." + bench.classes().at(i).name, FlowFigures::Total::Least,
                        bench.oracle().inTimeShare(i, 10, 22), decider);
                addInvariants(figures, bench, decider);
            });
        boundInvariants(figures);
        return figures.finish();
    }

}

Measurement partition()
{
    return { .name = "partition", .summary = "one failure domain cut off from the others for 12 s", .run = run };
}

}
