#include "FlowMeasure.h"
#include "FlowMeasurements.h"

namespace Measure {

namespace {

    using FlowBench::Bench;
    using Total = FlowFigures::Total;

    constexpr double newFlowsPerBalancer = 4000;
    constexpr uint64_t heldFlowsPerBalancer = 300'000;
    constexpr uint64_t openedPerStep = 300;
    constexpr Base::milliseconds openingInterval { 5 };
    constexpr double controlBytesBound = 4096;

    /// Leaves one load without slot limits, on backend servers with a high connection limit, so that only connections
    /// and control traffic count.
    void enlarge(Bench::Options& options)
    {
        auto& deployment = options.deployment;
        deployment.loads.resize(1);
        auto& load = deployment.loads.front();
        auto& service = deployment.snapshot.services.at(load.service);
        for (auto& portClass : service.portClasses) {
            portClass.slotUse = Configuration::SlotUse::None;
            portClass.idleTimeout = Base::milliseconds(3'600'000);
        }
        for (auto& server : service.backendServers)
            server.connections = 1'000'000;
        load.flowsPerSecond = newFlowsPerBalancer * static_cast<double>(deployment.balancerDomains.size());
        load.meanRequests = 1;
        load.longLivedShare = 0;
        load.serviceTime = Base::milliseconds(5);
        options.maximumFlows = 1'500'000;
    }

    /// Opens many idle flows, then adds new flows, a weight change and the crash of a balancer.
    void holdAndChange(Bench& bench)
    {
        const auto held = heldFlowsPerBalancer * bench.balancerCount();
        for (uint64_t opened = 0; opened < held; opened += openedPerStep) {
            for (uint64_t i = 0; i < openedPerStep; ++i)
                bench.callers().openLongLivedFlow(0, Base::seconds(3600));
            bench.run(openingInterval);
        }
        bench.callers().start();
        bench.run(Base::seconds(2));
        bench.setWeight(bench.serverIds().front(), 90);
        bench.run(Base::seconds(4));
        bench.killBalancer(3);
        bench.run(Base::seconds(4));
    }

    void collect(FlowFigures& figures, Bench& bench, Decider decider)
    {
        const auto& name = bench.deployment().name;
        figures.count(bench, "flows", bench.counts().flows, decider);
        figures.count(bench, "held", bench.callers().established(), decider);
        figures.add(name, "per_s_worst", Total::Worst, static_cast<double>(bench.worstControlBytes()), decider, "B/s");
        figures.add(name, "per_s_mean", Total::Worst, bench.meanControlBytes(), decider, "B/s");
        figures.count(bench, "broken", brokenTotal(bench), decider);
        figures.count(bench, "not_established", bench.counts().notEstablished, decider);
        figures.count(bench, "refused", bench.counts().refused, decider);
    }

    /// Runs one deployment with the production decider only, because the naive baseline sends no control messages.
    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "control_bytes");
        auto options = benchOptions(request, FlowBench::midshires(), Decider::Real);
        enlarge(options);
        Bench bench(std::move(options));
        holdAndChange(bench);
        collect(figures, bench, Decider::Real);
        figures.boundAtMost("per_s_worst", controlBytesBound);
        return figures.finish();
    }

}

Measurement controlBytes()
{
    return { .name = "control-bytes",
        .summary = "control bytes at 4,000 new flows a second and 300,000 held flows for each balancer",
        .run = run };
}

}
