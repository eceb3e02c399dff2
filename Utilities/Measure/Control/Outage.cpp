// Store outage of one hour with node restarts during the outage.

#include "Control.h"
#include "Samples.h"
#include <ControlFakes/FakeFleet.h>

namespace Measure {

namespace {

    using Base::seconds;
    using ControlFakes::FakeFleet;

    constexpr std::size_t nodes = 16;
    constexpr std::chrono::minutes outage { 60 };
    constexpr std::chrono::minutes restartEvery { 2 };
    constexpr seconds serveBound { 9 };

}

int runOutage(const Request& request, Report& report)
{
    report.note(
        "16 nodes in 4 failure domains; a node restarts empty every two minutes; a change waits for the return");
    FakeFleet fleet({ .nodes = nodes, .domains = 4, .regions = 2, .seed = request.seed });
    Base::Random random(request.seed);
    fleet.startAll();
    for (int change = 0; change < 3; ++change)
        fleet.acceptChange();
    fleet.run(seconds(15));
    fleet.store.faults.isDown = true;
    uint64_t unserved = 0;
    uint64_t restarts = 0;
    Samples serveTimes;
    const auto end = fleet.now() + outage;
    while (fleet.now() < end) {
        const auto next = fleet.now() + restartEvery;
        const auto node = random.below(nodes);
        ++restarts;
        fleet.kill(node);
        fleet.start(node);
        const auto startedAt = fleet.now();
        if (!fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, serveBound))
            ++unserved;
        serveTimes.add(Base::toSeconds(fleet.now() - startedAt));
        fleet.run(next - fleet.now());
    }
    fleet.store.faults.isDown = false;
    fleet.acceptChange();
    const auto returnedAt = fleet.now();
    const bool isCaughtUp = fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, serveBound);
    report.figure("outage.reverts", static_cast<double>(fleet.reverts()), "count");
    report.figure("outage.unserved", static_cast<double>(unserved), "count");
    report.figure("outage.unserved_naive", static_cast<double>(restarts), "count");
    report.figure("outage.serve_worst", serveTimes.worst(), "s");
    report.figure("outage.in_force_after_return", Base::toSeconds(fleet.now() - returnedAt), "s");
    return fleet.reverts() == 0 && unserved == 0 && isCaughtUp ? 0 : 1;
}

}
