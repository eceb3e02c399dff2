#include "FlowMeasure.h"
#include "FlowMeasurements.h"
#include <fstream>

namespace Measure {

namespace {

    using Configuration::FailureDomainState;
    using FlowBench::Bench;
    using Total = FlowFigures::Total;

    constexpr uint32_t outAt = 15;
    constexpr uint32_t backAt = 30;
    constexpr uint32_t endAt = 55;
    /// Seconds at the end of the run that are excluded, because responses may still be outstanding.
    constexpr uint32_t excludedTailSeconds = 3;

    std::string suffixOf(Decider decider)
    {
        if (decider == Decider::Real)
            return {};
        return decider == Decider::Naive ? "-naive" : "-reference";
    }

    void moveDomain(Bench& bench)
    {
        bench.callers().start();
        bench.run(Base::seconds(outAt));
        bench.setDomainState(0, FailureDomainState::Out);
        bench.run(Base::seconds(backAt - outAt));
        bench.setDomainState(0, FailureDomainState::In);
        bench.run(Base::seconds(endAt - backAt));
    }

    /// Writes one line per second: the second, then for each class the requests offered, answered in time and given up.
    void writeTimeline(const std::string& directory, Bench& bench, Decider decider)
    {
        std::ofstream file(directory + "/domain-move-" + bench.deployment().name + suffixOf(decider) + ".data");
        file << "# second";
        for (std::size_t i = 0; i < bench.classes().size(); ++i)
            file << " " << bench.classes().at(i).name << ":offered :answered :given-up";
        file << "\n";
        for (uint32_t second = 0; second < endAt - excludedTailSeconds; ++second) {
            file << second;
            for (std::size_t i = 0; i < bench.classes().size(); ++i) {
                const auto& seconds = bench.oracle().seconds(i);
                const auto row = second < seconds.size() ? seconds[second] : FlowBench::ClassSecond {};
                file << " " << row.offered << " " << row.inTime << " " << row.abandonedRequests;
            }
            file << "\n";
        }
    }

    void writeScript(const std::string& directory, Bench& bench)
    {
        const auto& name = bench.deployment().name;
        std::ofstream file(directory + "/domain-move-" + name + ".gnuplot");
        file << "set terminal png size 1000,600\nset output 'domain-move-" << name << ".png'\n"
             << "set title 'Answered in time while a failure domain leaves (" << outAt << " s) and returns (" << backAt
             << " s): " << name << "'\nset xlabel 'second'\nset ylabel 'share answered in time'\nset yrange [0:1.05]\n"
             << "set key bottom right\nplot";
        for (std::size_t i = 0; i < bench.classes().size(); ++i) {
            const auto column = 2 + 3 * i;
            const auto ratio = "($" + std::to_string(column + 1) + "/($" + std::to_string(column) + "-$"
                + std::to_string(column + 2) + "))";
            file << (i > 0 ? "," : "") << " 'domain-move-" << name << ".data' using 1:" << ratio
                 << " with lines lw 2 title '" << bench.classes().at(i).name << "', 'domain-move-" << name
                 << "-naive.data' using 1:" << ratio << " with lines dt 2 title '" << bench.classes().at(i).name
                 << " (naive)'";
        }
        file << "\n";
    }

    void collect(const Request& request, FlowFigures& figures, Bench& bench, Decider decider)
    {
        for (std::size_t i = 0; i < bench.classes().size(); ++i) {
            const auto& name = bench.classes().at(i).name;
            figures.ratio(bench, "worst_second_answered." + name, Total::Least,
                bench.oracle().worstSecondInTimeShare(i, outAt - 1, endAt - excludedTailSeconds), decider);
            figures.ratio(bench, "answered." + name, Total::Least,
                bench.oracle().inTimeShare(i, outAt - 1, endAt - excludedTailSeconds), decider);
        }
        figures.count(bench, "given_up", brokenBy(bench, FlowBench::BreakCause::DomainOut), decider);
        figures.count(bench, "broken_planned", brokenBy(bench, FlowBench::BreakCause::Planned), decider);
        addInvariants(figures, bench, decider);
        if (request.plotDirectory.empty())
            return;
        writeTimeline(request.plotDirectory, bench, decider);
        writeScript(request.plotDirectory, bench);
    }

    int run(const Request& request, Report& report)
    {
        FlowFigures figures(report, "domain_move");
        runWithEachDecider(
            request, [](Bench::Options&) {}, moveDomain,
            [&](Bench& bench, Decider decider) { collect(request, figures, bench, decider); });
        figures.boundAtMost("broken_planned", 0);
        boundInvariants(figures);
        return figures.finish();
    }

}

Measurement domainMove()
{
    return {
        .name = "domain-move", .summary = "service while a failure domain is taken out and brought back", .run = run
    };
}

}
