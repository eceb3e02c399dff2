#pragma once

#include <LibBalancer/BalancerMetrics.h>
#include <LibBalancer/ControlThread.h>
#include <LibMetrics/ServedRegistry.h>
#include <LibProgram/Signals.h>
#include <thread>

namespace Balancer {

/// The balancerd program: binds the endpoints, starts the threads and shuts down gracefully.
class Balancer {
public:
    /// The settings must outlive the balancer. Returns ErrorCode::Unavailable if an endpoint can't be bound.
    static Base::ErrorOr<std::unique_ptr<Balancer>> create(const BalancerSettings&);

    /// Runs until a stop is requested and the shutdown is complete. Returns the process's exit code.
    int run(Program::Signals&);

private:
    explicit Balancer(const BalancerSettings&);

    Base::ErrorOr<void> initialize();
    Base::ErrorOr<std::unique_ptr<Flow::FlowDecider>> createDecider(uint64_t incarnation, uint64_t seed) const;
    DataPath::DecideThread::Options decideThreadOptions();
    void serve(Program::Signals&);
    void leave();
    /// Updates the metrics until the given time or until the condition holds.
    void updateMetricsUntil(Base::TimePoint end, const std::function<bool()>& isDone);

    const BalancerSettings& settings_;
    SharedState shared_;
    Metrics::ServedRegistry registry_;
    std::unique_ptr<ControlThread> control_;
    std::unique_ptr<DataPath::DataPath> path_;
    std::unique_ptr<BalancerMetrics> metrics_;
};

}
