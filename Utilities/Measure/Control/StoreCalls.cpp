// Calls to the store at the target size: steady state, mass restart, recovery from an outage.

#include "Control.h"
#include <ControlFakes/FakeFleet.h>
#include <LibControl/Process/ControlStatistics.h>
#include <numeric>
#include <string>
#include <vector>

namespace Measure {

namespace {

    using Base::milliseconds;
    using Base::seconds;
    using ControlFakes::FakeFleet;
    using ControlFakes::FakeStore;

    constexpr std::size_t nodes = 3400;
    constexpr double readsBound = 2000;
    constexpr double writesBound = 300;
    constexpr milliseconds restartWindow { 3000 };

    bool report(Report& report, const std::string& scenario, const FakeStore::Load& load)
    {
        report.figure("store.reads_per_s_worst." + scenario, static_cast<double>(load.reads), "1/s");
        report.figure("store.writes_per_s_worst." + scenario, static_cast<double>(load.writes), "1/s");
        return static_cast<double>(load.reads) <= readsBound && static_cast<double>(load.writes) <= writesBound;
    }

    /// Naive baseline, in which every node calls the store: one watch in the steady state; manifest, one part and a
    /// watch within the restart window; all pending watches repeated in the second in which the store recovers.
    void reportNaive(Report& report)
    {
        constexpr double callsToStart = 3;
        constexpr double perSecond = nodes * callsToStart / (restartWindow / milliseconds(1000));
        report.figure("store.reads_per_s_worst.steady_naive", nodes, "1/s");
        report.figure("store.writes_per_s_worst.steady_naive", 0, "1/s");
        report.figure("store.reads_per_s_worst.mass_restart_naive", perSecond + nodes, "1/s");
        report.figure("store.writes_per_s_worst.mass_restart_naive", 0, "1/s");
        report.figure("store.reads_per_s_worst.return_naive", 2.0 * nodes, "1/s");
        report.figure("store.writes_per_s_worst.return_naive", 0, "1/s");
    }

    FakeStore::Load runSteady(FakeFleet& fleet)
    {
        fleet.run(seconds(5));
        fleet.store.resetLoad(fleet.now());
        for (int change = 0; change < 4; ++change) {
            fleet.acceptChange();
            fleet.run(seconds(1));
        }
        return fleet.store.peakLoad(fleet.now());
    }

    FakeStore::Load runReturn(FakeFleet& fleet)
    {
        fleet.store.faults.isDown = true;
        fleet.run(seconds(12));
        fleet.store.faults.isDown = false;
        fleet.store.resetLoad(fleet.now());
        fleet.run(seconds(4));
        return fleet.store.peakLoad(fleet.now());
    }

    FakeStore::Load runMassRestart(FakeFleet& fleet)
    {
        for (std::size_t node = 0; node < fleet.size(); ++node)
            fleet.kill(node);
        fleet.run(seconds(12));
        fleet.store.resetLoad(fleet.now());
        std::vector<std::size_t> listed(fleet.size());
        std::iota(listed.begin(), listed.end(), std::size_t { 0 });
        fleet.announceVmList(listed);
        constexpr std::size_t batches = 50;
        for (std::size_t batch = 0; batch < batches; ++batch) {
            for (std::size_t node = batch; node < fleet.size(); node += batches)
                fleet.start(node);
            fleet.run(restartWindow / batches);
        }
        fleet.run(seconds(3));
        return fleet.store.peakLoad(fleet.now());
    }

}

int runStoreCalls(const Request& request, Report& output)
{
    output.note("3,400 nodes; a waiting watch counts as one read in each second that it waits in");
    FakeFleet fleet({ .nodes = nodes, .domains = 4, .regions = 2, .seed = request.seed });
    fleet.startAll();
    fleet.acceptChange();
    bool isWithinBounds = report(output, "steady", runSteady(fleet));
    isWithinBounds = report(output, "return", runReturn(fleet)) && isWithinBounds;
    isWithinBounds = report(output, "mass_restart", runMassRestart(fleet)) && isWithinBounds;
    reportNaive(output);
    return isWithinBounds && fleet.reverts() == 0 ? 0 : 1;
}

}
