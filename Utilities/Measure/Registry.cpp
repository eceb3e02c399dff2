#include "Changes/ChangeAcceptance.h"
#include "Control/Control.h"
#include "FlowMeasurements.h"
#include "Measurement.h"
#include "PacketPath/PacketPath.h"
#include "Slopes/SlopeSeries.h"

namespace Measure {

static std::vector<Measurement> controlMeasurements()
{
    return {
        { .name = "config-propagation",
            .summary = "time from acceptance to in force, 4 to 3,400 nodes, and control bytes",
            .run = runConfigPropagation },
        { .name = "dissemination",
            .summary = "ways of spreading a change: gossip, trees, repaired tree, 4 to 3,400 members",
            .run = runDissemination },
        { .name = "store-calls",
            .summary = "calls to the store at 3,400 nodes: steady, mass restart, return from an outage",
            .run = runStoreCalls },
        { .name = "membership",
            .summary = "failure detection under loss and pauses, 12 to 3,400 nodes",
            .run = runMembership },
        { .name = "newcomer",
            .summary = "time and bytes until a newcomer serves the target's configuration",
            .run = runNewcomer },
        { .name = "change-acceptance",
            .summary = "operators racing at four endpoints while the store loses answers",
            .run = runChangeAcceptance },
        { .name = "outage", .summary = "one hour without the store, with restarts inside", .run = runOutage },
    };
}

static std::vector<Measurement> resourceMeasurements()
{
    return {
        { .name = "slopes",
            .summary = "memory, processor time and bytes by size, with fits (docs/CAPACITY.md)",
            .run = measureSlopes },
        PacketPath::packetPathMeasurement(),
    };
}

std::vector<Measurement> allMeasurements()
{
    auto measurements = flowMeasurements();
    for (const auto& group : { controlMeasurements(), resourceMeasurements() })
        measurements.insert(measurements.end(), group.begin(), group.end());
    return measurements;
}

}
