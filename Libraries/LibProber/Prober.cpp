#include <LibProber/Prober.h>

#include <LibLog/Log.h>
#include <LibProber/Events.h>
#include <LibProgram/Program.h>

namespace Prober {

namespace {

    constexpr std::size_t reportQueueCapacity = 8192;
    constexpr std::size_t targetListQueueCapacity = 16;
    constexpr std::size_t maximumReportsPerExchange = 1024;
    constexpr Base::milliseconds pollTimeout { 10 };
    constexpr Base::milliseconds signalPollInterval { 200 };

}

Base::ErrorOr<std::unique_ptr<Prober>> Prober::create(const ProberSettings& settings, uint64_t seed)
{
    TRY_ASSIGN(client,
        Peer::QueryClient::create({ .endpoint = settings.balancer.endpoint,
            .keys = settings.balancer.keys,
            .timeout = settings.balancer.timeout }));
    std::unique_ptr<Prober> prober(new Prober(settings, seed, std::move(client)));
    TRY_ASSIGN(endpoint, prober->registry_.serve(settings.metrics.endpoint));
    Program::announceListening("metrics", endpoint);
    return prober;
}

Prober::Prober(const ProberSettings& settings, uint64_t seed, Peer::QueryClient balancer)
    : settings_(settings)
    , lostReports_(registry_.counter("eelgrasshatch_probe_reports_lost_total", "Reports lost to a full ring."))
    , targetGauge_(registry_.gauge("eelgrasshatch_probe_targets", "Backend servers probed from here."))
    , schedule_(
          { .interval = settings.probe.interval, .maximumConcurrent = settings.probe.maximumConcurrent, .seed = seed })
    , fetcher_({ .timeout = settings.probe.timeout,
          .onFinished = [this](const Peer::ProbeTarget& target, ProbeOutcome outcome,
                            const ProbeResponse& response) { finishProbe(target, outcome, response); } })
    , balancer_(std::move(balancer))
    , reports_(reportQueueCapacity)
    , targets_(targetListQueueCapacity)
{
    for (std::size_t index = 0; index < probeOutcomeCount; ++index) {
        outcomes_[index] = &registry_.counter("eelgrasshatch_probes_total", "Probes, by outcome.",
            { { "outcome", std::string(toString(static_cast<ProbeOutcome>(index))) } });
    }
}

int Prober::run(Program::Signals& signals)
{
    std::thread probeThread([this] { probeLoop(); });
    std::thread reportThread([this] { reportLoop(); });
    while (!signals.waitForStop(signalPollInterval)) { }
    stopping_.store(true);
    probeThread.join();
    reportThread.join();
    return Program::Success;
}

void Prober::probeLoop()
{
    std::vector<Peer::ProbeTarget> targets;
    while (!stopping_.load(std::memory_order_relaxed)) {
        const auto now = std::chrono::steady_clock::now();
        while (targets_.tryPop(targets)) {
            if (schedule_.setTargets(now, targets))
                Log::write(Events::targetsChanged, Log::Fields().add("targets", targets.size()));
        }
        for (const auto& target : schedule_.startDueProbes(now))
            fetcher_.start(target);
        targetGauge_.Set(static_cast<double>(schedule_.targetCount()));
        fetcher_.poll(pollTimeout);
    }
}

void Prober::finishProbe(const Peer::ProbeTarget& target, ProbeOutcome outcome, const ProbeResponse& response)
{
    const auto now = std::chrono::steady_clock::now();
    outcomes_.at(static_cast<std::size_t>(outcome))->Increment();
    schedule_.finish(now, target.backendServer);
    if (outcome != ProbeOutcome::Responded) {
        Log::write(Events::probeFailed,
            Log::Fields().add("backend_server", target.backendServer.value).add("reason", toString(outcome)));
    }
    updateHealth(target.backendServer, response.healthy);
    const TimedReport timedReport { .report = { .backendServer = target.backendServer,
                                        .healthy = response.healthy,
                                        .slotsInUse = response.slotsInUse,
                                        .connections = response.connections,
                                        .startToken = response.startToken },
        .probedAt = now };
    if (!reports_.tryPush(timedReport))
        lostReports_.Increment();
}

void Prober::updateHealth(Base::BackendServerId server, bool healthy)
{
    const auto [entry, isNew] = health_.try_emplace(server, healthy);
    if (!isNew && entry->second == healthy)
        return;
    entry->second = healthy;
    Log::write(Events::healthChanged, Log::Fields().add("backend_server", server.value).add("healthy", healthy));
}

void Prober::reportLoop()
{
    while (!stopping_.load(std::memory_order_relaxed)) {
        exchangeReports();
        std::this_thread::sleep_for(settings_.probe.reportInterval);
    }
}

void Prober::exchangeReports()
{
    std::vector<Peer::ProbeReport> reports;
    const auto now = std::chrono::steady_clock::now();
    TimedReport timedReport;
    while (reports.size() < maximumReportsPerExchange && reports_.tryPop(timedReport)) {
        const auto age = std::chrono::duration_cast<Base::milliseconds>(now - timedReport.probedAt).count();
        timedReport.report.ageMs = static_cast<uint32_t>(age);
        reports.push_back(timedReport.report);
    }
    const auto targets = Base::capture([&]() -> Base::ErrorOr<std::vector<Peer::ProbeTarget>> {
        TRY_ASSIGN(response, balancer_.sendRequest(Peer::Channel::Probe, Peer::encodeProbeReports(reports)));
        return Peer::decodeProbeTargets(response);
    });
    updateBalancerReachability(targets.isOk());
    logLostReports();
    if (targets.isOk())
        targets_.tryPush(*targets.value);
}

void Prober::logLostReports()
{
    const auto lost = reports_.refusedCount();
    if (lost == loggedLostReports_)
        return;
    loggedLostReports_ = lost;
    Log::write(Events::reportsLost, Log::Fields().add("count", lost));
}

void Prober::updateBalancerReachability(bool reachable)
{
    if (balancerReachabilityKnown_ && reachable == balancerReachable_)
        return;
    balancerReachabilityKnown_ = true;
    balancerReachable_ = reachable;
    Log::write(reachable ? Events::balancerReachable : Events::balancerUnreachable);
}

}
