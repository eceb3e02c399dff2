// eelgrasshatch-demo-report: prints the results of a demo run as tables or as JSON. Exits with 1 if an invariant was
// violated.

#include "DemoResult.h"
#include <cstdio>
#include <cxxopts.hpp>

namespace {

using namespace DemoReport;

constexpr int usageErrorExitCode = 2;

void printClasses(const DemoResult& result)
{
    std::printf("\n%-24s %7s %8s %14s %8s %7s %8s %6s %9s %9s %7s\n", "service/class", "opened", "finished",
        "broken p/d/b", "refused", "unopen", "answered", "late", "p50 ms", "p99 ms", "worst s");
    for (const auto& entry : result.classes) {
        const auto broken = std::to_string(entry.broken.planned) + "/" + std::to_string(entry.broken.domainOut) + "/"
            + std::to_string(entry.broken.balancerLoss);
        std::printf("%-24s %7lu %8lu %14s %8lu %7lu %8lu %6lu %9.1f %9.1f %7.2f\n",
            (entry.service + "/" + entry.portClass).c_str(), entry.opened, entry.finished, broken.c_str(),
            entry.refused, entry.notEstablished, entry.answered, entry.late, entry.latencyMedianMilliseconds,
            entry.latency99thMilliseconds, entry.worstSecondAnswered.value_or(1.0));
    }
    std::printf("broken p/d/b: by planned changes / by removal of a failure domain / after a balancer was killed or "
                "came back empty\n");
    std::printf(
        "unopen: never established in time; worst s: share answered in time in the worst second of the domain move\n");
}

void printServices(const DemoResult& result)
{
    std::printf("\n%-12s %14s %20s %12s %6s\n", "service", "peak slots", "peak connections", "imbalance", "shed");
    for (const auto& entry : result.services) {
        std::printf("%-12s %8u of %3u %12u of %5u %12.3f %6lu\n", entry.service.c_str(), entry.peakSlots,
            entry.slotLimit, entry.peakConnections, entry.connectionLimit, entry.imbalance, entry.shed);
    }
}

void printCounters(const DemoResult& result)
{
    std::printf("\nbalancers' counters by reason\n");
    for (const auto& [name, value] : result.counters) {
        const bool isByReason = name.find("reason=") != std::string::npos;
        if (isByReason && value > 0)
            std::printf("  %-80s %12.0f\n", name.c_str(), value);
    }
}

void printTables(const DemoResult& result)
{
    printClasses(result);
    printServices(result);
    printCounters(result);
    std::printf(
        "\ndoubled non-idempotent work %lu, work at a wrong service %lu\n", result.doubled, result.wrongService);
}

nlohmann::json toJson(const DemoResult& result)
{
    nlohmann::json json { { "doubled", result.doubled }, { "wrong_service", result.wrongService },
        { "counters", result.counters }, { "broken_invariants", result.brokenInvariants() } };
    for (const auto& entry : result.classes) {
        json["classes"].push_back({ { "service", entry.service }, { "class", entry.portClass },
            { "opened", entry.opened }, { "finished", entry.finished }, { "broken_planned", entry.broken.planned },
            { "broken_domain_out", entry.broken.domainOut }, { "broken_balancer_loss", entry.broken.balancerLoss },
            { "refused", entry.refused }, { "not_established", entry.notEstablished },
            { "false_refusals", entry.falseRefusals }, { "requests", entry.requests }, { "answered", entry.answered },
            { "late", entry.late }, { "corrupt", entry.corrupt }, { "latency_p50_ms", entry.latencyMedianMilliseconds },
            { "latency_p99_ms", entry.latency99thMilliseconds },
            { "worst_second_answered", entry.worstSecondAnswered.value_or(1.0) } });
    }
    for (const auto& entry : result.services) {
        json["services"].push_back({ { "service", entry.service }, { "peak_slots", entry.peakSlots },
            { "slot_limit", entry.slotLimit }, { "peak_connections", entry.peakConnections },
            { "connection_limit", entry.connectionLimit }, { "imbalance", entry.imbalance }, { "shed", entry.shed } });
    }
    return json;
}

int run(int argc, char** argv)
{
    cxxopts::Options options("eelgrasshatch-demo-report", "What the demo's run showed.");
    options.add_options()("callers", "the callers' report", cxxopts::value<std::string>());
    options.add_options()("backends", "the backend servers' report", cxxopts::value<std::string>());
    options.add_options()("events", "what the demo did and when", cxxopts::value<std::string>());
    options.add_options()("metrics", "metrics pages, one for each balancer",
        cxxopts::value<std::vector<std::string>>()->default_value(""));
    options.add_options()("json", "print JSON")("help", "this page");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::printf("%s\n", options.help().c_str());
        return 0;
    }
    const auto metrics = arguments.count("metrics") > 0 ? arguments["metrics"].as<std::vector<std::string>>()
                                                        : std::vector<std::string> {};
    const auto result = evaluate(readInputs(arguments["callers"].as<std::string>(),
        arguments["backends"].as<std::string>(), arguments["events"].as<std::string>(), metrics));
    if (arguments.count("json") > 0)
        std::printf("%s\n", toJson(result).dump(2).c_str());
    else
        printTables(result);
    const auto broken = result.brokenInvariants();
    for (const auto& line : broken)
        std::fprintf(stderr, "INVARIANT BROKEN %s\n", line.c_str());
    return broken.empty() ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::fprintf(stderr, "eelgrasshatch-demo-report: %s\n", exception.what());
        return usageErrorExitCode;
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "eelgrasshatch-demo-report: %s\n", exception.what());
        return 1;
    }
}
