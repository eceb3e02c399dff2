#pragma once

#include <LibBase/Random.h>
#include <LibFlowBench/Bench.h>
#include <string_view>
#include <vector>

namespace FlowBench {

/// The planned changes and faults that a random scenario can contain.
enum class Disturbance : uint8_t {
    Drain,
    WeightChange,
    ScaleOut,
    BackendServerOut,
    BalancerLeave,
    BalancerJoin,
    UnevenConfiguration,
    DomainMove,
    BalancerKill,
    BalancerPause,
    Partition,
    SilentRestart,
    LyingReports,
    PacketLoss,
    PacketDuplication,
    PacketReordering,
    ControlLoss,
    ControlDelay,
};
constexpr std::size_t disturbanceCount = 18;

std::string_view toString(Disturbance);
/// Whether a disturbance is an operator's planned change or a network fault that TCP tolerates: loss, duplication,
/// reordering or delay.
bool isPlanned(Disturbance);

/// Disturbances at random times under light load, followed by an undisturbed period in which every open flow sends
/// another request, so that each broken flow is detected.
class RandomScenario {
public:
    /// Each disturbance occurs once or twice.
    RandomScenario(uint64_t seed, std::vector<Disturbance>);

    /// Returns the bench's options for this scenario: deployment, network faults and configuration delays.
    Bench::Options options(const DeciderFactory&);
    /// Runs the whole scenario.
    void run(Bench&);

private:
    void schedule(Bench&, Disturbance);
    void applyDisturbance(Bench&, Disturbance);
    void changeStateTemporarily(Bench&, Base::BackendServerId, Configuration::BackendServerState);
    Base::BackendServerId randomBackendServer(Bench&);
    std::size_t randomBalancer(Bench&);
    Base::nanoseconds randomTime(Base::milliseconds from, Base::milliseconds to);

    uint64_t seed_;
    std::vector<Disturbance> disturbances_;
    Base::Random random_;
};

}
