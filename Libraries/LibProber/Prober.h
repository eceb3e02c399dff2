#pragma once

#include <LibBase/Ring.h>
#include <LibMetrics/ServedRegistry.h>
#include <LibPeer/QueryClient.h>
#include <LibProber/ProbeFetcher.h>
#include <LibProber/ProbeSchedule.h>
#include <LibProber/ProberSettings.h>
#include <LibProgram/Signals.h>
#include <atomic>
#include <thread>
#include <unordered_map>

namespace Prober {

/// The whole of proberd: one thread probes, one exchanges reports and targets with the balancer.
class Prober {
public:
    /// The settings must outlive the prober. Unavailable when the metrics endpoint cannot be bound.
    static Base::ErrorOr<std::unique_ptr<Prober>> create(const ProberSettings&, uint64_t seed);

    /// Runs until a stop is asked for; the process's exit code.
    int run(Program::Signals&);

private:
    /// A report and when it was read.
    struct Reading {
        Peer::ProbeReport report;
        Base::TimePoint readAt {};
    };

    Prober(const ProberSettings&, uint64_t seed, Peer::QueryClient);

    void probeLoop();
    void finishProbe(const Peer::ProbeTarget&, ProbeOutcome, const ProbeAnswer&);
    void noteHealth(Base::BackendServerId, bool healthy);
    void linkLoop();
    void exchange();
    void noteBalancer(bool reachable);
    void noteLostReports();

    const ProberSettings& settings_;
    Metrics::ServedRegistry registry_;
    std::array<prometheus::Counter*, probeOutcomeCount> outcomes_ {};
    prometheus::Counter& lostReports_;
    prometheus::Gauge& targetGauge_;
    ProbeSchedule schedule_;
    ProbeFetcher fetcher_;
    Peer::QueryClient balancer_;
    Base::Ring<Reading> readings_;
    Base::Ring<std::vector<Peer::ProbeTarget>> targets_;
    std::unordered_map<Base::BackendServerId, bool> health_;
    bool balancerReachable_ { false };
    bool balancerKnown_ { false };
    uint64_t lostBefore_ { 0 };
    std::atomic<bool> stopping_ { false };
};

}
