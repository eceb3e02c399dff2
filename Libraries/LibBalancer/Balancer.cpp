#include <LibBalancer/Balancer.h>

#include <LibBalancer/Events.h>
#include <LibLog/Log.h>
#include <LibProgram/Program.h>
#include <random>

namespace Balancer {

namespace {

    constexpr Base::milliseconds metricsUpdateInterval { 1000 };
    constexpr Base::milliseconds leavePollInterval { 20 };

    uint64_t randomSeed()
    {
        std::random_device device;
        return (static_cast<uint64_t>(device()) << 32) | device();
    }

    /// Increases with each start of the process on this machine.
    uint64_t currentIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

}

Base::ErrorOr<std::unique_ptr<Balancer>> Balancer::create(const BalancerSettings& settings)
{
    std::unique_ptr<Balancer> balancer(new Balancer(settings));
    TRY(balancer->initialize());
    return balancer;
}

Balancer::Balancer(const BalancerSettings& settings)
    : settings_(settings)
{
}

Base::ErrorOr<std::unique_ptr<Flow::FlowDecider>> Balancer::createDecider(uint64_t incarnation, uint64_t seed) const
{
    return Flow::FlowDecider::create({ .self = control_->self(),
        .incarnation = incarnation,
        .failureDomain = settings_.failureDomain,
        .seed = seed,
        .maximumFlows = settings_.limits.maximumFlows,
        .maximumQueued = settings_.limits.maximumQueued,
        .controlBytesPerSecond = settings_.limits.flowControlBytesPerSecond });
}

DataPath::DecideThread::Options Balancer::decideThreadOptions()
{
    return { .fabric = settings_.data.fabric,
        .onStatistics =
            [this](const Flow::FlowDecider& decider) {
                SharedState::FlowView view { .statistics = decider.statistics(),
                    .serversToProbe = decider.backendServersToProbe() };
                view.statistics.backendServer = nullptr;
                shared_.setFlow(std::move(view));
            },
        .onRefusal =
            [](const Flow::RefuseToCaller& refusal) {
                if (!Log::isDebugEnabled())
                    return;
                Log::write(Events::flowRefused,
                    Log::Fields().add("reason", toString(refusal.reason)).add("truth", toString(refusal.truth)));
            } };
}

Base::ErrorOr<void> Balancer::initialize()
{
    const auto incarnation = currentIncarnation();
    const auto seed = randomSeed();
    TRY_ASSIGN(control,
        ControlThread::create(
            { .settings = &settings_, .incarnation = incarnation, .seed = seed, .shared = &shared_ }));
    control_ = std::move(control);
    TRY_ASSIGN(decider, createDecider(incarnation, seed));
    TRY_ASSIGN(path,
        DataPath::DataPath::create({ .endpoint = settings_.data.endpoint,
                                       .workers = settings_.data.threads,
                                       .buffersPerWorker = settings_.data.buffersPerThread,
                                       .verifyTransportChecksum = settings_.data.verifyChecksums,
                                       .self = control_->self(),
                                       .keys = settings_.control.keys,
                                       .decide = decideThreadOptions() },
            std::move(decider)));
    path_ = std::move(path);
    TRY(control_->attach(path_->decideThread(), path_->endpoint()));
    metrics_ = std::make_unique<BalancerMetrics>(registry_, shared_, *path_);
    TRY_ASSIGN(metricsEndpoint, registry_.serve(settings_.metrics.endpoint));
    Program::announceListening("control", control_->self().endpoint());
    Program::announceListening("data", path_->endpoint());
    Program::announceListening("metrics", metricsEndpoint);
    return {};
}

int Balancer::run(Program::Signals& signals)
{
    path_->start();
    std::thread controlThread([this] { control_->run(); });
    serve(signals);
    leave();
    control_->requestStop();
    controlThread.join();
    path_->stop();
    return 0;
}

void Balancer::serve(Program::Signals& signals)
{
    while (!signals.waitForStop(metricsUpdateInterval))
        metrics_->update();
}

void Balancer::leave()
{
    control_->requestLeave();
    const auto end = std::chrono::steady_clock::now() + settings_.stop.timeout;
    updateMetricsUntil(end, [this] { return path_->decideThread().hasLeft(); });
    const bool hasLeft = path_->decideThread().hasLeft();
    Log::write(hasLeft ? Events::left : Events::leaveTimedOut);
    updateMetricsUntil(std::chrono::steady_clock::now() + settings_.stop.linger, [] { return false; });
}

void Balancer::updateMetricsUntil(Base::TimePoint end, const std::function<bool()>& isDone)
{
    while (std::chrono::steady_clock::now() < end && !isDone()) {
        std::this_thread::sleep_for(leavePollInterval);
        metrics_->update();
    }
}

}
