#include "FlowMeasure.h"
#include "FlowMeasurements.h"

namespace Measure {

namespace {

    using FlowBench::Bench;
    using Total = FlowFigures::Total;

    constexpr uint32_t overloadAt = 10;
    constexpr uint32_t overloadEnd = 30;
    constexpr uint32_t endAt = 45;
    constexpr double overloadFactor = 4;

    void overloadServers(Bench& bench)
    {
        bench.callers().start();
        bench.run(Base::seconds(overloadAt));
        bench.callers().setLoadFactor(overloadFactor);
        bench.run(Base::seconds(overloadEnd - overloadAt));
        bench.callers().setLoadFactor(1);
        bench.run(Base::seconds(endAt - overloadEnd));
    }

    void collect(FlowFigures& figures, Bench& bench, Decider decider)
    {
        for (std::size_t i = 0; i < bench.classes().size(); ++i) {
            const auto& name = bench.classes().at(i).name;
            figures.ratio(bench, "goodput." + name, Total::Least,
                bench.oracle().inTimeShare(i, overloadAt, overloadEnd), decider);
            figures.ratio(bench, "recovered." + name, Total::Least,
                bench.oracle().inTimeShare(i, overloadEnd + 6, endAt - 3), decider);
        }
        const auto& counts = bench.counts();
        figures.count(bench, "refused", counts.refused, decider);
        figures.ratio(bench, "refused_with_room", Total::Worst,
            static_cast<double>(counts.refusedWithRoom) / static_cast<double>(counts.flows), decider);
        figures.count(bench, "late", counts.lateResponses, decider);
        figures.count(bench, "broken_planned", brokenBy(bench, FlowBench::BreakCause::Planned), decider);
        addInvariants(figures, bench, decider);
    }

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "overload");
        runWithEachDecider(
            request,
            [](Bench::Options& options) {
                for (auto& load : options.deployment.loads)
                    load.longLivedShare = 0;
            },
            overloadServers, [&](Bench& bench, Decider decider) { collect(figures, bench, decider); });
        boundInvariants(figures);
        return figures.finish();
    }

}

Measurement overload()
{
    return { .name = "overload", .summary = "answers in time by class at four times the usual load", .run = run };
}

}
