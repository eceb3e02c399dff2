#pragma once

#include "Measurement.h"
#include <LibFlowBench/Bench.h>
#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Measure {

/// The implementation whose decisions are measured: the production decider, the naive baseline, or an omniscient
/// reference that shows the best result the scenario allows.
enum class Decider : uint8_t {
    Real,
    Naive,
    Reference,
};

/// A scenario of flow decisions, run on a newly created bench.
using Scenario = std::function<void(FlowBench::Bench&)>;

/// Returns the deployments of both customers.
std::vector<FlowBench::Deployment> deployments();

/// Returns the options of a bench that uses the given decider.
FlowBench::Bench::Options benchOptions(const Request&, const FlowBench::Deployment&, Decider decider);

/// Collects the figures of one measurement, per deployment and aggregated over both, for each decider, and checks the
/// production decider's figures against bounds.
class FlowFigures {
public:
    /// How the values of the deployments are aggregated into the figure without a deployment in its name.
    enum class Total : uint8_t {
        Sum,
        Worst,
        Least,
    };

    FlowFigures(Report& report, std::string measurement)
        : report_(report)
        , measurement_(std::move(measurement))
    {
    }

    /// Adds the value of one deployment.
    void add(const std::string& deployment, const std::string& name, Total, double value, Decider decider,
        const std::string& unit = "count");
    /// Adds a count of one bench; counts are summed over the deployments.
    void count(const FlowBench::Bench&, const std::string& name, uint64_t value, Decider decider);
    /// Adds a ratio of one bench.
    void ratio(const FlowBench::Bench&, const std::string& name, Total, double value, Decider decider);
    /// Requires that the production decider's figure does not exceed a bound.
    void boundAtMost(const std::string& name, double bound);
    /// Requires that the production decider's figure is not below a bound.
    void boundAtLeast(const std::string& name, double bound);
    /// Prints all figures and violated bounds; returns the process's exit code, 1 if a bound was violated.
    int finish();

private:
    struct Figure {
        std::string name;
        std::string unit;
        Total total { Total::Sum };
        /// Per decider, pairs of deployment name and value.
        std::array<std::vector<std::pair<std::string, double>>, 3> values;
    };

    static double totalOf(const Figure&, const std::vector<std::pair<std::string, double>>&);
    Figure& find(const std::string& name);
    void print(const Figure&);

    Report& report_;
    std::string measurement_;
    std::vector<Figure> figures_;
    bool isBoundViolated_ { false };
    std::vector<std::pair<std::string, std::pair<double, double>>> bounds_;
};

/// Adds the invariant violations and control traffic that every flow measurement reports.
void addInvariants(FlowFigures&, const FlowBench::Bench&, Decider decider);
/// Sets the bounds of the figures of addInvariants().
void boundInvariants(FlowFigures&);
/// The same without over_ramp, for unannounced restarts, which balancers can't detect immediately.
void boundInvariantsExceptRamp(FlowFigures&);

/// Runs a scenario for both deployments with each of the given deciders, and passes each finished bench to `collect`.
void runWithEachDecider(const Request&, const std::function<void(FlowBench::Bench::Options&)>& adjust, const Scenario&,
    const std::function<void(FlowBench::Bench&, Decider decider)>& collect,
    const std::vector<Decider>& deciders = { Decider::Real, Decider::Naive });

/// Returns the number of established flows broken by one cause.
uint64_t brokenBy(const FlowBench::Bench&, FlowBench::BreakCause);
/// Returns the number of established flows broken by any cause.
uint64_t brokenTotal(const FlowBench::Bench&);

}
