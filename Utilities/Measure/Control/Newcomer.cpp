// Time and bytes until a new node has the whole configuration, at the target size.

#include "Control.h"
#include "Samples.h"
#include "TargetConfiguration.h"
#include <ControlFakes/FakeFleet.h>
#include <LibConfiguration/Change.h>
#include <LibControl/Process/ControlStatistics.h>
#include <numeric>

namespace Measure {

namespace {

    using Base::milliseconds;
    using Base::seconds;
    using ControlFakes::FakeFleet;

    constexpr std::size_t nodes = 32;
    constexpr double bytesBound = 25'000;
    /// Upper bound of the time until a new node serves.
    constexpr seconds serveBound { 120 };
    constexpr std::size_t newcomersAtOnce = 3;

    uint64_t receivedBytes(Control::ControlNode& node)
    {
        const auto& received = node.statistics().receivedBytes;
        return std::accumulate(received.begin(), received.end(), uint64_t { 0 });
    }

}

int runNewcomer(const Request& request, Report& report)
{
    report.note(
        "28,000 backend servers behind 9,200 addresses; three nodes restart empty at once while the store is down");
    const auto target = makeTargetConfiguration(request.seed);
    FakeFleet fleet({ .nodes = nodes, .domains = 4, .regions = 2, .seed = request.seed });
    fleet.acceptSnapshot(target);
    fleet.startAll();
    const bool isReady = fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, seconds(1800));
    fleet.run(seconds(10));
    fleet.store.faults.isDown = true;
    fleet.resetTraffic();
    const auto startedAt = fleet.now();
    for (std::size_t node = 1; node <= newcomersAtOnce; ++node) {
        fleet.kill(node);
        fleet.start(node);
    }
    Samples times;
    Samples bytes;
    fleet.onEnforced = [&](std::size_t node, Base::Revision) {
        times.add(Base::toSeconds(fleet.now() - startedAt));
        bytes.add(static_cast<double>(receivedBytes(fleet.node(node))));
    };
    const bool isServed = fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, serveBound);
    const auto worst = static_cast<double>(fleet.peakTraffic().total());
    std::size_t plainBytes = 0;
    for (const auto& part : Configuration::encodeSnapshot(target, 16'000))
        plainBytes += part.size();
    report.figure("newcomer.serve_worst", times.worst(), "s");
    report.figure("newcomer.bytes", bytes.worst(), "B");
    report.figure("newcomer.bytes_per_s_worst", worst, "B/s");
    report.figure("newcomer.serve_worst_naive", static_cast<double>(plainBytes) / bytesBound, "s");
    report.figure("newcomer.bytes_naive", static_cast<double>(plainBytes), "B");
    return isReady && isServed && fleet.reverts() == 0 && worst <= bytesBound ? 0 : 1;
}

}
