#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace StandIn {

/// Why a flow failed.
enum class FlowFailure : uint8_t {
    /// Refused before it was established.
    Refused,
    /// Reset after it was established.
    Reset,
    /// No response in time after it was established.
    Stalled,
    /// Not established in time.
    NotEstablished,
};

/// Details of a failed flow, with which the report can determine the cause.
struct FailedFlow {
    uint64_t flow { 0 };
    FlowFailure failure { FlowFailure::Refused };
    int64_t wallMilliseconds { 0 };
    int64_t openedWallMilliseconds { 0 };
    std::string backendServer;
    std::string failureDomain;
    /// IDs of the requests without a response when the flow failed.
    std::vector<uint64_t> unanswered;
};

/// Statistics of one service's port class.
struct PortClassStatistics {
    uint64_t opened { 0 };
    uint64_t finished { 0 };
    uint64_t requests { 0 };
    uint64_t answered { 0 };
    uint64_t late { 0 };
    uint64_t corrupt { 0 };
    std::vector<FailedFlow> failed;
    std::vector<double> latenciesMilliseconds;
    std::map<std::string, uint64_t> flowsByBackendServer;
    /// Number of requests sent and of those with a response in time, by the wall-clock second in which they were sent.
    std::map<int64_t, std::pair<uint64_t, uint64_t>> requestsBySecond;

    nlohmann::json toJson() const;
};

}
