#include "FlowMeasure.h"
#include "FlowMeasurements.h"
#include <algorithm>

namespace Measure {

namespace {

    using Configuration::BackendServerState;
    using FlowBench::Bench;

    /// Time within which balancers must detect an unannounced restart.
    constexpr Base::seconds restartDetectionLimit { 2 };

    struct Openings {
        uint64_t overRampBeforeNotice { 0 };
        double firstSecondShare { 0 };
        double fullShare { 0 };
    };

    /// Returns the new flows of a server during a span, relative to the mean over the servers of its service.
    double shareDuring(Bench& bench, Base::BackendServerId id, Base::seconds span)
    {
        const auto service = bench.deployment().loads.front().service;
        const auto servers = bench.serversOf(service);
        const auto total = [&] {
            uint64_t opened = 0;
            for (const auto* server : servers)
                opened += server->opened();
            return opened;
        };
        const auto before = bench.server(id).opened();
        const auto totalBefore = total();
        bench.run(span);
        const auto mean = static_cast<double>(total() - totalBefore) / static_cast<double>(servers.size());
        return mean == 0 ? 0 : static_cast<double>(bench.server(id).opened() - before) / mean;
    }

    Openings startCold(Bench& bench)
    {
        Openings openings;
        bench.callers().start();
        bench.run(Base::seconds(10));
        const auto added = bench.scaleOut(bench.deployment().loads.front().service, 1);
        bench.run(Base::seconds(1));
        openings.firstSecondShare = shareDuring(bench, added, Base::seconds(2));
        bench.run(Base::seconds(12));
        openings.fullShare = shareDuring(bench, added, Base::seconds(10));
        const auto overRamp = bench.counts().overRamp;
        bench.restartBackendServer(bench.serverIds()[3]);
        bench.run(restartDetectionLimit);
        openings.overRampBeforeNotice = bench.counts().overRamp - overRamp;
        bench.run(Base::seconds(13));
        return openings;
    }

    void collect(FlowFigures& figures, Bench& bench, const Openings& openings, Decider decider)
    {
        figures.count(bench, "over_ramp_before_notice", openings.overRampBeforeNotice, decider);
        figures.count(
            bench, "over_ramp_after_notice", bench.counts().overRamp - openings.overRampBeforeNotice, decider);
        figures.ratio(bench, "share_first_seconds", FlowFigures::Total::Worst, openings.firstSecondShare, decider);
        figures.ratio(bench, "share_when_warm", FlowFigures::Total::Least, openings.fullShare, decider);
        figures.count(bench, "broken_planned", brokenBy(bench, FlowBench::BreakCause::Planned), decider);
        addInvariants(figures, bench, decider);
    }

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "cold_start");
        Openings openings;
        runWithEachDecider(
            request, [](Bench::Options&) {}, [&](Bench& bench) { openings = startCold(bench); },
            [&](Bench& bench, Decider decider) { collect(figures, bench, openings, decider); });
        figures.boundAtMost("over_ramp_after_notice", 0);
        figures.boundAtMost("broken_planned", 0);
        boundInvariantsExceptRamp(figures);
        return figures.finish();
    }

}

Measurement coldStart()
{
    return { .name = "cold-start", .summary = "load on backend servers that have just started", .run = run };
}

}
