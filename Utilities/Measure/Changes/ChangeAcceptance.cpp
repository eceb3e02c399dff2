#include "ChangeAcceptance.h"
#include "Simulation.h"

namespace Measure {

namespace {

    void print(Report& report, const AcceptanceFigures& figures, const std::string& suffix)
    {
        const auto name = [&](const char* figure) { return std::string("change_acceptance.") + figure + suffix; };
        const auto accepted = static_cast<double>(figures.accepted);
        report.figure(name("accepted"), accepted, "count");
        report.figure(name("doubled"), static_cast<double>(figures.doubled), "count");
        report.figure(name("false_refusals"), static_cast<double>(figures.falseRefusals), "count");
        report.figure(name("overwritten_unseen"), static_cast<double>(figures.overwrittenUnseen), "count");
        report.figure(name("writes_per_change"), static_cast<double>(figures.writes) / accepted, "ratio");
        report.figure(name("reads_per_change"), static_cast<double>(figures.reads) / accepted, "ratio");
    }

}

int runChangeAcceptance(const Request& request, Report& report)
{
    AcceptanceSimulation own(request.seed, [](uint64_t seed) { return std::make_unique<OwnEndpoint>(seed); });
    AcceptanceSimulation naive(request.seed, [](uint64_t) { return std::make_unique<NaiveEndpoint>(); });
    const auto figures = own.run();
    print(report, figures, "");
    print(report, naive.run(), "_naive");
    const bool holds = figures.doubled == 0 && figures.falseRefusals == 0 && figures.overwrittenUnseen == 0;
    return holds ? 0 : 1;
}

}
