#pragma once

#include <LibBalancer/SharedState.h>
#include <LibDataPath/DataPath.h>
#include <LibMetrics/Registry.h>
#include <functional>
#include <vector>

namespace Balancer {

/// Updates the metrics registry from SharedState and the data path's counters.
class BalancerMetrics {
public:
    BalancerMetrics(Metrics::Registry&, const SharedState&, DataPath::DataPath&);

    /// Updates all metrics; called about once a second. Logs new packet losses and messages signed with an unknown key.
    void update();

private:
    using Read = std::function<double()>;

    void addCounter(const std::string& name, const std::string& help, const Metrics::Labels&, Read);
    void addGauge(const std::string& name, const std::string& help, const Metrics::Labels&, Read);
    void addFlowReasons();
    void addFlowStatistics();
    void addControl();
    void addTransport();
    void addDataPath();
    void addWorkers();
    void logDroppedPackets();

    Metrics::Registry& registry_;
    const SharedState& shared_;
    DataPath::DataPath& path_;
    /// Copies of SharedState that the current update reads.
    SharedState::FlowView flow_;
    SharedState::ControlView control_;
    std::vector<std::function<void()>> updates_;
    uint64_t loggedLosses_ { 0 };
    uint64_t loggedUnauthenticated_ { 0 };
};

}
