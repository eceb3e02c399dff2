#include "FlowMeasure.h"

#include <LibFlowBench/Factories.h>
#include <algorithm>
#include <limits>
#include <numeric>

namespace Measure {

using FlowBench::Bench;
using FlowBench::BreakCause;

namespace {

    FlowBench::DeciderFactory factoryOf(Decider decider)
    {
        if (decider == Decider::Naive)
            return FlowBench::naiveFactory();
        if (decider == Decider::Reference)
            return FlowBench::referenceFactory();
        return Flow::FlowDecider::create;
    }

}

std::vector<FlowBench::Deployment> deployments() { return { FlowBench::midshires(), FlowBench::kiprono() }; }

Bench::Options benchOptions(const Request& request, const FlowBench::Deployment& deployment, Decider decider)
{
    Bench::Options options;
    options.deployment = deployment;
    options.seed = request.seed;
    options.factory = factoryOf(decider);
    return options;
}

void FlowFigures::count(const Bench& bench, const std::string& name, uint64_t value, Decider decider)
{
    add(bench.deployment().name, name, Total::Sum, static_cast<double>(value), decider);
}

void FlowFigures::ratio(const Bench& bench, const std::string& name, Total total, double value, Decider decider)
{
    add(bench.deployment().name, name, total, value, decider, "ratio");
}

FlowFigures::Figure& FlowFigures::find(const std::string& name)
{
    for (auto& figure : figures_) {
        if (figure.name == name)
            return figure;
    }
    figures_.push_back({ .name = name });
    return figures_.back();
}

void FlowFigures::add(const std::string& deployment, const std::string& name, Total total, double value,
    Decider decider, const std::string& unit)
{
    auto& figure = find(name);
    figure.total = total;
    figure.unit = unit;
    figure.values[static_cast<std::size_t>(decider)].emplace_back(deployment, value);
}

void FlowFigures::boundAtMost(const std::string& name, double bound)
{
    bounds_.push_back({ name, { std::numeric_limits<double>::lowest(), bound } });
}

void FlowFigures::boundAtLeast(const std::string& name, double bound)
{
    bounds_.push_back({ name, { bound, std::numeric_limits<double>::max() } });
}

double FlowFigures::totalOf(const Figure& figure, const std::vector<std::pair<std::string, double>>& values)
{
    double total = values.empty() ? 0 : values.front().second;
    for (std::size_t i = 1; i < values.size(); ++i) {
        const double value = values[i].second;
        if (figure.total == Total::Sum)
            total += value;
        else
            total = figure.total == Total::Worst ? std::max(total, value) : std::min(total, value);
    }
    return total;
}

void FlowFigures::print(const Figure& figure)
{
    const auto print = [&](const std::vector<std::pair<std::string, double>>& values, const std::string& suffix) {
        if (values.empty())
            return;
        report_.figure(measurement_ + "." + figure.name + suffix, totalOf(figure, values), figure.unit);
        if (values.size() < 2)
            return;
        for (const auto& [deployment, value] : values) {
            std::string name = measurement_;
            name.append(".").append(deployment).append(".").append(figure.name).append(suffix);
            report_.figure(name, value, figure.unit);
        }
    };
    print(figure.values[static_cast<std::size_t>(Decider::Real)], "");
    print(figure.values[static_cast<std::size_t>(Decider::Naive)], "_naive");
    print(figure.values[static_cast<std::size_t>(Decider::Reference)], "_reference");
}

int FlowFigures::finish()
{
    for (const auto& figure : figures_)
        print(figure);
    for (const auto& [name, bound] : bounds_) {
        for (const auto& [deployment, value] : find(name).values[static_cast<std::size_t>(Decider::Real)]) {
            if (value >= bound.first && value <= bound.second)
                continue;
            std::string broken = "BROKEN ";
            broken.append(measurement_).append(".").append(deployment).append(".").append(name);
            report_.note(broken);
            isBoundViolated_ = true;
        }
    }
    return isBoundViolated_ ? 1 : 0;
}

uint64_t brokenBy(const Bench& bench, BreakCause cause)
{
    return bench.counts().broken[static_cast<std::size_t>(cause)];
}

uint64_t brokenTotal(const Bench& bench)
{
    const auto& broken = bench.counts().broken;
    return std::accumulate(broken.begin(), broken.end(), uint64_t { 0 });
}

void addInvariants(FlowFigures& figures, const Bench& bench, Decider decider)
{
    const auto& counts = bench.counts();
    const auto add = [&](const std::string& name, uint64_t value) { figures.count(bench, name, value, decider); };
    add("wrong_service", counts.wrongService);
    add("doubled", counts.doubled);
    add("false_refusals", counts.falseRefusals);
    add("limit_exceeded", counts.limitExceeded);
    add("new_work_to_leaving", counts.newWorkToLeaving);
    add("packets_after_out", counts.packetsAfterOut);
    add("over_ramp", counts.overRamp);
    add("token_faults", counts.tokenFaults);
    figures.add(bench.deployment().name, "control_bytes_per_s_worst", FlowFigures::Total::Worst,
        static_cast<double>(bench.worstControlBytes()), decider, "B/s");
}

void boundInvariants(FlowFigures& figures)
{
    boundInvariantsExceptRamp(figures);
    figures.boundAtMost("over_ramp", 0);
}

void boundInvariantsExceptRamp(FlowFigures& figures)
{
    for (const auto* name : { "wrong_service", "doubled", "false_refusals", "limit_exceeded", "new_work_to_leaving",
             "packets_after_out", "token_faults" })
        figures.boundAtMost(name, 0);
    constexpr double controlBytesBound = 4096;
    figures.boundAtMost("control_bytes_per_s_worst", controlBytesBound);
}

void runWithEachDecider(const Request& request, const std::function<void(Bench::Options&)>& adjust,
    const Scenario& scenario, const std::function<void(Bench&, Decider decider)>& collect,
    const std::vector<Decider>& deciders)
{
    for (const auto& deployment : deployments()) {
        for (const auto decider : deciders) {
            auto options = benchOptions(request, deployment, decider);
            adjust(options);
            Bench bench(std::move(options));
            scenario(bench);
            collect(bench, decider);
        }
    }
}

}
