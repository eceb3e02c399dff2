#include "FlowMeasure.h"
#include "FlowMeasurements.h"

namespace Measure {

namespace {

    using FlowBench::Bench;
    using Total = FlowFigures::Total;

    /// 1 plus the retry budget of the port classes.
    constexpr double amplificationBound = 1.1;

    /// Every second backend server resets all first packets; 10 s later all servers also slow down. Callers retry.
    void storm(Bench& bench)
    {
        bench.callers().start();
        bench.run(Base::seconds(10));
        const auto servers = bench.serversOf(bench.deployment().loads.front().service);
        for (std::size_t i = 0; i < servers.size(); i += 2)
            servers[i]->setShedding(true);
        bench.run(Base::seconds(10));
        for (auto* server : servers)
            server->setServiceTimeFactor(3);
        bench.run(Base::seconds(10));
        for (auto* server : servers) {
            server->setServiceTimeFactor(1);
            server->setShedding(false);
        }
        bench.run(Base::seconds(15));
    }

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "retry_storm");
        runWithEachDecider(
            request, [](Bench::Options& options) { options.callers.retriesAfterRefusal = 2; }, storm,
            [&](Bench& bench, Decider decider) {
                const auto& counts = bench.counts();
                figures.ratio(bench, "amplification", Total::Worst,
                    static_cast<double>(counts.flowsReachedPairs) / static_cast<double>(counts.flowsReached), decider);
                for (std::size_t i = 0; i < bench.classes().size(); ++i)
                    figures.ratio(bench, "answered." + bench.classes().at(i).name, Total::Least,
                        bench.oracle().inTimeShare(i, 10, 30), decider);
                figures.count(bench, "refused", counts.refused, decider);
                figures.count(bench, "broken_planned", brokenBy(bench, FlowBench::BreakCause::Planned), decider);
                addInvariants(figures, bench, decider);
            });
        figures.boundAtMost("amplification", amplificationBound);
        boundInvariants(figures);
        return figures.finish();
    }

}

Measurement retryStorm()
{
    return { .name = "retry-storm",
        .summary = "first packets sent to backend servers per flow while they shed and slow",
        .run = run };
}

}
