#include "FlowMeasure.h"
#include "FlowMeasurements.h"
#include <algorithm>

namespace Measure {

namespace {

    using FlowBench::Bench;
    using Total = FlowFigures::Total;

    constexpr Base::seconds warmUpDuration { 20 };
    constexpr Base::seconds measurementDuration { 180 };

    /// Gives the servers of each service unequal weights and slots.
    void makeUneven(Bench::Options& options)
    {
        for (auto& [name, service] : options.deployment.snapshot.services) {
            auto& half = service.backendServers[0];
            half.weight = 50;
            auto& twice = service.backendServers[1];
            twice.weight = 200;
            twice.slots = 4;
        }
        for (auto& load : options.deployment.loads)
            load.longLivedShare = 0;
    }

    struct Sample {
        double opened { 0 };
        double busy { 0 };
    };

    std::vector<Sample> sampleServers(Bench& bench, const std::string& service)
    {
        std::vector<Sample> samples;
        for (const auto* server : bench.serversOf(service))
            samples.push_back(
                { .opened = static_cast<double>(server->opened()), .busy = Base::toSeconds(server->busy()) });
        return samples;
    }

    double maxOverMean(const Bench& bench, const std::string& service, const std::vector<double>& loads)
    {
        const auto& servers = bench.deployment().snapshot.services.at(service).backendServers;
        double worst = 0;
        double total = 0;
        double weights = 0;
        for (std::size_t i = 0; i < loads.size(); ++i) {
            worst = std::max(worst, loads[i] / servers[i].weight);
            total += loads[i];
            weights += servers[i].weight;
        }
        return total == 0 ? 1 : worst / (total / weights);
    }

    void addService(FlowFigures& figures, Bench& bench, const std::string& service, const std::vector<Sample>& before,
        Decider decider)
    {
        const auto after = sampleServers(bench, service);
        std::vector<double> opened;
        std::vector<double> busy;
        for (std::size_t i = 0; i < after.size(); ++i) {
            opened.push_back(after[i].opened - before[i].opened);
            busy.push_back(after[i].busy - before[i].busy);
        }
        figures.ratio(bench, "max_over_mean", Total::Worst, maxOverMean(bench, service, opened), decider);
        figures.ratio(bench, "busy_max_over_mean", Total::Worst, maxOverMean(bench, service, busy), decider);
    }

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "imbalance");
        std::vector<Sample> before;
        runWithEachDecider(
            request, makeUneven,
            [&](Bench& bench) {
                bench.callers().start();
                bench.run(warmUpDuration);
                before = sampleServers(bench, bench.deployment().loads.front().service);
                bench.run(measurementDuration);
            },
            [&](Bench& bench, Decider decider) {
                addService(figures, bench, bench.deployment().loads.front().service, before, decider);
                const auto& counts = bench.counts();
                figures.ratio(bench, "refused_with_room", Total::Worst,
                    static_cast<double>(counts.refusedWithRoom) / static_cast<double>(counts.flows), decider);
                figures.count(bench, "refused", counts.refused, decider);
                addInvariants(figures, bench, decider);
            },
            { Decider::Real, Decider::Naive, Decider::Reference });
        boundInvariants(figures);
        return figures.finish();
    }

}

Measurement imbalance()
{
    return { .name = "imbalance", .summary = "load by weight over backend servers in steady state", .run = run };
}

}
