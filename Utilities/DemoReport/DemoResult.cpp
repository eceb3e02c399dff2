#include "DemoResult.h"

#include <algorithm>

namespace DemoReport {

/// Failures within this time after a balancer was killed, or restarted without its state, are attributed to that event.
static constexpr int64_t balancerLossWindowMilliseconds = 10'000;
/// The evaluation of a failure domain's removal ends this long after the domain's return.
static constexpr int64_t domainReturnGraceSeconds = 5;

static bool isCausedByDomainOut(const nlohmann::json& flow, const std::vector<DemoEvent>& events)
{
    return std::any_of(events.begin(), events.end(), [&](const DemoEvent& event) {
        return event.kind == "domain_out" && event.argument == flow.at("failure_domain")
            && flow.at("at_ms") >= event.timestampMilliseconds
            && flow.at("opened_ms") <= event.timestampMilliseconds + 3000;
    });
}

static bool isCausedByBalancerLoss(const nlohmann::json& flow, const std::vector<DemoEvent>& events)
{
    const int64_t failedAt = flow.at("at_ms");
    return std::any_of(events.begin(), events.end(), [&](const DemoEvent& event) {
        const bool isLossOrReturn = event.kind == "balancer_killed" || event.kind == "balancer_returned";
        return isLossOrReturn && failedAt >= event.timestampMilliseconds
            && failedAt <= event.timestampMilliseconds + balancerLossWindowMilliseconds;
    });
}

static void countFailure(
    ClassResult& result, const nlohmann::json& flow, const DemoInputs& inputs, const std::set<uint64_t>& started)
{
    const auto failure = flow.at("failure").get<std::string>();
    if (failure == "refused") {
        result.refused++;
        for (const uint64_t id : flow.at("unanswered")) {
            if (started.contains(id))
                result.falseRefusals++;
        }
        return;
    }
    if (failure == "not_established") {
        result.notEstablished++;
        return;
    }
    if (isCausedByDomainOut(flow, inputs.events))
        result.broken.domainOut++;
    else if (isCausedByBalancerLoss(flow, inputs.events))
        result.broken.balancerLoss++;
    else
        result.broken.planned++;
}

static std::optional<double> worstSecondInTimeShare(const nlohmann::json& seconds, const std::vector<DemoEvent>& events)
{
    int64_t from = 0;
    int64_t to = 0;
    for (const auto& event : events) {
        if (event.kind == "domain_out" && from == 0)
            from = event.timestampMilliseconds / 1000;
        if (event.kind == "domain_in")
            to = event.timestampMilliseconds / 1000 + domainReturnGraceSeconds;
    }
    std::optional<double> worst;
    for (const auto& entry : seconds) {
        const int64_t second = entry.at("second");
        const double sent = entry.at("sent");
        if (second < from || second > to || sent == 0)
            continue;
        const double share = entry.at("answered").get<double>() / sent;
        worst = std::min(worst.value_or(1.0), share);
    }
    return worst;
}

static ClassResult evaluateClass(
    const nlohmann::json& report, const DemoInputs& inputs, const std::set<uint64_t>& started)
{
    ClassResult result {
        .service = report.at("service"),
        .portClass = report.at("class"),
        .opened = report.at("opened"),
        .finished = report.at("finished"),
        .requests = report.at("requests"),
        .answered = report.at("answered"),
        .late = report.at("late"),
        .corrupt = report.at("corrupt"),
        .latencyMedianMilliseconds = report.at("latency_p50_ms"),
        .latency99thMilliseconds = report.at("latency_p99_ms"),
        .worstSecondAnswered = worstSecondInTimeShare(report.at("seconds"), inputs.events),
    };
    for (const auto& flow : report.at("failed"))
        countFailure(result, flow, inputs, started);
    return result;
}

static bool isAffectedByEvent(const nlohmann::json& server, const std::vector<DemoEvent>& events)
{
    return std::any_of(events.begin(), events.end(), [&](const DemoEvent& event) {
        return event.argument == server.at("name") || event.argument == server.at("failure_domain");
    });
}

static double imbalanceOf(const std::string& service, const DemoInputs& inputs)
{
    std::map<std::string, double> flows;
    for (const auto& report : inputs.callers.at("classes")) {
        if (report.at("service") != service)
            continue;
        for (const auto& [name, count] : report.at("flows_by_backend_server").items())
            flows[name] += count.get<double>();
    }
    double most = 0;
    double total = 0;
    double servers = 0;
    for (const auto& server : inputs.backendServers.at("backend_servers")) {
        if (server.at("service") != service || isAffectedByEvent(server, inputs.events))
            continue;
        const double count = flows[server.at("name")];
        most = std::max(most, count);
        total += count;
        servers++;
    }
    return total > 0 ? most * servers / total : 0;
}

static std::vector<ServiceResult> evaluateServices(const DemoInputs& inputs)
{
    std::map<std::string, ServiceResult> results;
    for (const auto& server : inputs.backendServers.at("backend_servers")) {
        auto& result = results[server.at("service")];
        result.service = server.at("service");
        result.peakSlots = std::max(result.peakSlots,
            server.at("peak_slots").get<unsigned>() + std::min(server.at("queued").get<unsigned>(), 1U));
        result.slotLimit = server.at("slots");
        result.peakConnections = std::max(result.peakConnections, server.at("peak_connections").get<unsigned>());
        result.connectionLimit = server.at("connections");
        result.shed += server.at("shed").get<uint64_t>();
        result.imbalance = imbalanceOf(result.service, inputs);
    }
    std::vector<ServiceResult> list;
    list.reserve(results.size());
    for (auto& [name, result] : results)
        list.push_back(std::move(result));
    return list;
}

DemoResult evaluate(const DemoInputs& inputs)
{
    const auto started = inputs.backendServers.at("started").get<std::set<uint64_t>>();
    DemoResult result {
        .classes = {},
        .services = evaluateServices(inputs),
        .doubled = inputs.backendServers.at("doubled"),
        .wrongService = inputs.backendServers.at("wrong_service"),
        .counters = inputs.counters,
    };
    for (const auto& report : inputs.callers.at("classes"))
        result.classes.push_back(evaluateClass(report, inputs, started));
    return result;
}

static void addLineUnlessZero(std::vector<std::string>& lines, const std::string& what, uint64_t count)
{
    if (count != 0)
        lines.push_back(what + ": " + std::to_string(count) + ", expected 0");
}

std::vector<std::string> DemoResult::brokenInvariants() const
{
    std::vector<std::string> lines;
    addLineUnlessZero(lines, "doubled non-idempotent work", doubled);
    addLineUnlessZero(lines, "work at a wrong service", wrongService);
    for (const auto& entry : classes) {
        const auto name = entry.service + "/" + entry.portClass + ": ";
        addLineUnlessZero(lines, name + "flows broken by planned changes", entry.broken.planned);
        addLineUnlessZero(lines, name + "false refusals", entry.falseRefusals);
        addLineUnlessZero(lines, name + "corrupt answers", entry.corrupt);
        if (entry.answered == 0)
            lines.push_back(name + "nothing was answered");
    }
    for (const auto& service : services) {
        if (service.peakSlots > service.slotLimit)
            lines.push_back(service.service + ": slots exceeded, " + std::to_string(service.peakSlots) + " of "
                + std::to_string(service.slotLimit));
        if (service.peakConnections > service.connectionLimit)
            lines.push_back(service.service + ": connections exceeded");
    }
    return lines;
}

}
