#include <LibFlowBench/RandomScenario.h>
#include <algorithm>

namespace FlowBench {

namespace {

    using Configuration::BackendServerState;
    using Configuration::FailureDomainState;

    constexpr Base::milliseconds earliestDisturbance { 2000 };
    constexpr Base::milliseconds latestDisturbance { 7000 };
    constexpr Base::milliseconds minimumDuration { 500 };
    constexpr Base::milliseconds maximumDuration { 6000 };
    /// Time from the end of the last disturbance until callers open no more flows.
    constexpr Base::seconds recoveryPeriod { 8 };
    /// Time after the load stops in which callers time out all requests without a response.
    constexpr Base::seconds callerTimeoutPeriod { 22 };
    constexpr double loadFactor = 0.25;

    bool contains(const std::vector<Disturbance>& all, Disturbance one)
    {
        return std::find(all.begin(), all.end(), one) != all.end();
    }

}

std::string_view toString(Disturbance disturbance)
{
    constexpr std::array<std::string_view, disturbanceCount> names { "drain", "weight-change", "scale-out",
        "backend-server-out", "balancer-leave", "balancer-join", "uneven-configuration", "domain-move", "balancer-kill",
        "balancer-pause", "partition", "silent-restart", "lying-reports", "packet-loss", "packet-duplication",
        "packet-reordering", "control-loss", "control-delay" };
    return names.at(static_cast<std::size_t>(disturbance));
}

bool isPlanned(Disturbance disturbance)
{
    return disturbance < Disturbance::BalancerKill || disturbance > Disturbance::LyingReports;
}

RandomScenario::RandomScenario(uint64_t seed, std::vector<Disturbance> disturbances)
    : seed_(seed)
    , disturbances_(std::move(disturbances))
    , random_(Base::mix(seed, 77))
{
}

Bench::Options RandomScenario::options(const DeciderFactory& factory)
{
    Bench::Options options;
    options.deployment = seed_ % 2 == 0 ? midshires() : kiprono();
    options.seed = seed_;
    options.factory = factory;
    options.callers.loadFactor = loadFactor;
    options.callers.fiveTupleReuseProbability = random_.chance(0.3) ? 0.2 : 0;
    for (auto& load : options.deployment.loads)
        load.longLivedShare = std::max(load.longLivedShare, 0.1);
    if (contains(disturbances_, Disturbance::PacketLoss))
        options.faults.loss = 0.005 + 0.02 * random_.unit();
    if (contains(disturbances_, Disturbance::PacketDuplication))
        options.faults.duplication = 0.02 + 0.1 * random_.unit();
    if (contains(disturbances_, Disturbance::PacketReordering))
        options.faults.reordering = 0.02 + 0.2 * random_.unit();
    if (contains(disturbances_, Disturbance::ControlLoss))
        options.faults.controlLoss = 0.1 + 0.4 * random_.unit();
    if (contains(disturbances_, Disturbance::ControlDelay))
        options.faults.controlDelay = Base::milliseconds(50 + random_.below(500));
    if (contains(disturbances_, Disturbance::UnevenConfiguration))
        options.maximumConfigurationDelay = Base::milliseconds(1000 + random_.below(4000));
    return options;
}

Base::nanoseconds RandomScenario::randomTime(Base::milliseconds from, Base::milliseconds to)
{
    return from + Base::milliseconds(random_.below(static_cast<uint64_t>((to - from).count())));
}

Base::BackendServerId RandomScenario::randomBackendServer(Bench& bench)
{
    const auto ids = bench.serverIds();
    return ids[random_.below(ids.size())];
}

std::size_t RandomScenario::randomBalancer(Bench& bench) { return random_.below(bench.balancerCount()); }

void RandomScenario::run(Bench& bench)
{
    bench.callers().start();
    for (const auto disturbance : disturbances_)
        schedule(bench, disturbance);
    bench.run(latestDisturbance + maximumDuration + recoveryPeriod);
    bench.callers().stop();
    bench.run(callerTimeoutPeriod);
}

void RandomScenario::schedule(Bench& bench, Disturbance disturbance)
{
    const auto times = 1 + random_.below(2);
    for (uint64_t i = 0; i < times; ++i)
        bench.after(randomTime(earliestDisturbance, latestDisturbance),
            [this, &bench, disturbance] { applyDisturbance(bench, disturbance); });
}

void RandomScenario::changeStateTemporarily(Bench& bench, Base::BackendServerId id, BackendServerState state)
{
    bench.setBackendServerState(id, state);
    if (random_.chance(0.7))
        bench.after(randomTime(minimumDuration, maximumDuration),
            [&bench, id] { bench.setBackendServerState(id, BackendServerState::Active); });
}

void RandomScenario::applyDisturbance(Bench& bench, Disturbance disturbance)
{
    const auto duration = randomTime(minimumDuration, maximumDuration);
    switch (disturbance) {
    case Disturbance::Drain:
        return changeStateTemporarily(bench, randomBackendServer(bench), BackendServerState::Draining);
    case Disturbance::BackendServerOut:
        return changeStateTemporarily(bench, randomBackendServer(bench), BackendServerState::Out);
    case Disturbance::WeightChange:
    case Disturbance::UnevenConfiguration:
        return bench.setWeight(randomBackendServer(bench), static_cast<uint32_t>(20 + random_.below(200)));
    case Disturbance::ScaleOut:
        bench.scaleOut(bench.deployment().loads.front().service, random_.below(3));
        return;
    case Disturbance::BalancerLeave:
    case Disturbance::BalancerJoin: {
        const auto balancer = randomBalancer(bench);
        bench.leaveBalancer(balancer);
        if (disturbance == Disturbance::BalancerJoin)
            bench.after(duration + Base::seconds(4), [&bench, balancer] {
                if (!bench.balancer(balancer).isUp())
                    bench.startBalancer(balancer);
            });
        return;
    }
    case Disturbance::DomainMove: {
        const auto domain = random_.below(3);
        bench.setDomainState(domain, FailureDomainState::Out);
        bench.after(duration, [&bench, domain] { bench.setDomainState(domain, FailureDomainState::In); });
        return;
    }
    case Disturbance::BalancerKill: {
        const auto balancer = randomBalancer(bench);
        bench.killBalancer(balancer);
        bench.after(duration, [&bench, balancer] {
            if (!bench.balancer(balancer).isUp())
                bench.startBalancer(balancer);
        });
        return;
    }
    case Disturbance::BalancerPause: {
        const auto balancer = randomBalancer(bench);
        bench.pauseBalancer(balancer);
        bench.after(duration, [&bench, balancer] { bench.resumeBalancer(balancer); });
        return;
    }
    case Disturbance::Partition:
        bench.isolateDomain(random_.below(3));
        bench.after(duration, [&bench] { bench.healPartitions(); });
        return;
    case Disturbance::SilentRestart:
        return bench.restartBackendServer(randomBackendServer(bench));
    case Disturbance::LyingReports: {
        const auto fault = random_.chance(0.5) ? ReportFault::FalselyUnhealthy : ReportFault::FalselyIdle;
        const bool all = random_.chance(0.3);
        const auto one = randomBackendServer(bench);
        for (const auto id : bench.serverIds()) {
            if (all || id == one)
                bench.server(id).setReportFault(fault);
        }
        return;
    }
    default:
        return;
    }
}

}
