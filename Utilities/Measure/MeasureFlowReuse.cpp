#include "FlowMeasure.h"
#include "FlowMeasurements.h"

namespace Measure {

namespace {

    using FlowBench::Bench;

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "flow_reuse");
        runWithEachDecider(
            request,
            [](Bench::Options& options) {
                options.callers.fiveTupleReuseProbability = 0.5;
                options.faults = { .loss = 0.002, .duplication = 0.01, .reordering = 0.05 };
            },
            [](Bench& bench) {
                bench.callers().start();
                bench.run(Base::seconds(20));
                bench.setWeight(bench.serverIds().front(), 40);
                bench.run(Base::seconds(20));
            },
            [&](Bench& bench, Decider decider) {
                figures.count(bench, "flows", bench.counts().flows, decider);
                figures.count(bench, "foreign_answers", bench.counts().misdeliveredResponses, decider);
                figures.count(bench, "broken", brokenTotal(bench), decider);
                figures.count(bench, "not_established", bench.counts().notEstablished, decider);
                addInvariants(figures, bench, decider);
            },
            { Decider::Real, Decider::Naive, Decider::Reference });
        figures.boundAtMost("broken", 0);
        boundInvariants(figures);
        return figures.finish();
    }

}

Measurement flowReuse()
{
    return { .name = "flow-reuse", .summary = "five-tuples used again right after their flow ended", .run = run };
}

}
