#include "CallerStatistics.h"

#include <algorithm>

namespace StandIn {

static const char* toString(FlowFailure failure)
{
    switch (failure) {
    case FlowFailure::Refused:
        return "refused";
    case FlowFailure::Reset:
        return "reset";
    case FlowFailure::Stalled:
        return "stalled";
    case FlowFailure::NotEstablished:
        return "not_established";
    }
    return "unknown";
}

static double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

static nlohmann::json toJson(const FailedFlow& flow)
{
    return { { "flow", flow.flow }, { "failure", toString(flow.failure) }, { "at_ms", flow.wallMilliseconds },
        { "opened_ms", flow.openedWallMilliseconds }, { "backend_server", flow.backendServer },
        { "failure_domain", flow.failureDomain }, { "unanswered", flow.unanswered } };
}

nlohmann::json PortClassStatistics::toJson() const
{
    auto failures = nlohmann::json::array();
    for (const auto& flow : failed)
        failures.push_back(StandIn::toJson(flow));
    auto seconds = nlohmann::json::array();
    for (const auto& [second, counts] : requestsBySecond)
        seconds.push_back({ { "second", second }, { "sent", counts.first }, { "answered", counts.second } });
    return { { "opened", opened }, { "finished", finished }, { "requests", requests }, { "answered", answered },
        { "late", late }, { "corrupt", corrupt }, { "failed", failures },
        { "latency_p50_ms", percentile(latenciesMilliseconds, 0.5) },
        { "latency_p99_ms", percentile(latenciesMilliseconds, 0.99) },
        { "flows_by_backend_server", flowsByBackendServer }, { "seconds", seconds } };
}

}
