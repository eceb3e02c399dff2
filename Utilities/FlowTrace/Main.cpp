// eelgrasshatch-flow-trace: runs one random scenario and traces one of the flows that violated an invariant or broke.

#include <LibFlow/FlowDecider.h>
#include <LibFlowBench/RandomScenario.h>
#include <LibFlowBench/Summary.h>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>

namespace {

using FlowBench::Bench;
using FlowBench::BreakCause;
using FlowBench::Disturbance;

std::vector<Disturbance> parseDisturbances(const std::vector<std::string>& names)
{
    std::vector<Disturbance> disturbances;
    for (std::size_t i = 0; i < FlowBench::disturbanceCount; ++i) {
        for (const auto& name : names) {
            if (toString(static_cast<Disturbance>(i)) == name)
                disturbances.push_back(static_cast<Disturbance>(i));
        }
    }
    return disturbances;
}

/// Returns flows with a false refusal, a request executed twice or an exceeded limit, and flows broken by planned
/// changes or the loss of a balancer.
std::vector<FlowBench::FlowIndex> flowsToTrace(Bench& bench)
{
    auto flows = bench.oracle().flowsWithViolations();
    for (const auto& [flow, cause] : bench.oracle().brokenFlows()) {
        if (cause == BreakCause::Planned || cause == BreakCause::BalancerLoss)
            flows.push_back(flow);
    }
    return flows;
}

std::vector<FlowBench::FlowIndex> runScenario(
    uint64_t seed, const std::vector<Disturbance>& disturbances, std::optional<FlowBench::FlowIndex> traced)
{
    FlowBench::RandomScenario scenario(seed, disturbances);
    auto options = scenario.options(Flow::FlowDecider::create);
    options.tracedFlow = traced;
    if (traced)
        options.trace = [](const std::string& line) { std::printf("%s\n", line.c_str()); };
    Bench bench(options);
    scenario.run(bench);
    if (!traced)
        std::printf("%s\n", summarize(bench.counts()).c_str());
    return flowsToTrace(bench);
}

int run(int argc, char** argv)
{
    cxxopts::Options options("eelgrasshatch-flow-trace", "Traces a flow that a random scenario wronged.");
    options.positional_help("DISTURBANCE...");
    options.add_options()("disturbances", "names as in failed tests", cxxopts::value<std::vector<std::string>>());
    options.add_options()("seed", "seed of the scenario", cxxopts::value<uint64_t>()->default_value("1"));
    options.add_options()(
        "which", "position among the wronged flows", cxxopts::value<std::size_t>()->default_value("0"));
    options.parse_positional("disturbances");
    const auto arguments = options.parse(argc, argv);
    std::vector<Disturbance> disturbances;
    if (arguments.count("disturbances") > 0)
        disturbances = parseDisturbances(arguments["disturbances"].as<std::vector<std::string>>());
    const auto seed = arguments["seed"].as<uint64_t>();
    const auto which = arguments["which"].as<std::size_t>();
    const auto flows = runScenario(seed, disturbances, std::nullopt);
    std::printf("%zu flows wronged\n", flows.size());
    if (which < flows.size())
        runScenario(seed, disturbances, flows[which]);
    return 0;
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "flow-trace: %s\n", exception.what());
        return 1;
    }
}
