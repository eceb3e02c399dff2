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

/// The proberd program: one thread probes backend servers, another exchanges reports and targets with the balancer.
class Prober {
public:
    /// The settings must outlive the prober. Returns ErrorCode::Unavailable if the metrics endpoint can't be bound.
    static Base::ErrorOr<std::unique_ptr<Prober>> create(const ProberSettings&, uint64_t seed);

    /// Runs until a stop is requested. Returns the process's exit code.
    int run(Program::Signals&);

private:
    /// A report and the time at which its probe ended.
    struct TimedReport {
        Peer::ProbeReport report;
        Base::TimePoint probedAt {};
    };

    Prober(const ProberSettings&, uint64_t seed, Peer::QueryClient);

    void probeLoop();
    void finishProbe(const Peer::ProbeTarget&, ProbeOutcome, const ProbeResponse&);
    void updateHealth(Base::BackendServerId, bool healthy);
    void reportLoop();
    void exchangeReports();
    void updateBalancerReachability(bool reachable);
    void logLostReports();

    const ProberSettings& settings_;
    Metrics::ServedRegistry registry_;
    std::array<prometheus::Counter*, probeOutcomeCount> outcomes_ {};
    prometheus::Counter& lostReports_;
    prometheus::Gauge& targetGauge_;
    ProbeSchedule schedule_;
    ProbeFetcher fetcher_;
    Peer::QueryClient balancer_;
    Base::Ring<TimedReport> reports_;
    Base::Ring<std::vector<Peer::ProbeTarget>> targets_;
    std::unordered_map<Base::BackendServerId, bool> health_;
    bool balancerReachable_ { false };
    bool balancerReachabilityKnown_ { false };
    uint64_t loggedLostReports_ { 0 };
    std::atomic<bool> stopping_ { false };
};

}
