#include "../ResourceUse.h"
#include "SlopeSeries.h"
#include <ControlFakes/FakeFleet.h>

namespace Measure {

namespace {

    constexpr Base::seconds settleTime { 10 };
    constexpr Base::seconds measuredTime { 20 };
    constexpr std::size_t domainCount = 4;
    constexpr std::size_t regionCount = 2;

    /// Resource use of one node of a fleet.
    struct NodeCost {
        double memoryBytes { 0 };
        /// Share of a core; the fakes' own work is included, so that it is an upper bound.
        double processorShare { 0 };
        double bytesPerSecond { 0 };
        double worstBytesPerSecond { 0 };
    };

    NodeCost measureFleet(std::size_t nodes, uint64_t seed)
    {
        const auto heapBefore = heapBytesInUse();
        ControlFakes::FakeFleet fleet({ .nodes = nodes, .domains = domainCount, .regions = regionCount, .seed = seed });
        fleet.acceptChange();
        fleet.startAll();
        fleet.run(settleTime);
        const auto heapAfter = heapBytesInUse();
        fleet.resetTraffic();
        const auto processorBefore = threadProcessorTime();
        fleet.run(measuredTime);
        const auto processor = threadProcessorTime() - processorBefore;
        double mean = 0;
        for (const auto bytes : fleet.meanTraffic())
            mean += bytes;
        return {
            .memoryBytes = static_cast<double>(heapAfter - heapBefore) / static_cast<double>(nodes),
            .processorShare = Base::toSeconds(processor) / Base::toSeconds(measuredTime) / static_cast<double>(nodes),
            .bytesPerSecond = mean,
            .worstBytesPerSecond = static_cast<double>(fleet.peakTraffic().total()),
        };
    }

    /// Caches the measurements, so that each fleet size is measured only once for all series.
    class FleetCosts {
    public:
        explicit FleetCosts(uint64_t seed)
            : seed_(seed)
        {
        }

        const NodeCost& at(double nodes)
        {
            const auto size = static_cast<std::size_t>(nodes);
            const auto found = costs_.find(size);
            if (found != costs_.end())
                return found->second;
            return costs_.emplace(size, measureFleet(size, seed_)).first->second;
        }

    private:
        uint64_t seed_;
        std::map<std::size_t, NodeCost> costs_;
    };

}

std::vector<SlopeSeries> controlSeries(uint64_t seed)
{
    const auto costs = std::make_shared<FleetCosts>(seed);
    const std::vector<double> sizes { 4, 64, 256, 850, 3400 };
    return {
        { .name = "control_memory",
            .unit = "B",
            .sizeOf = "members",
            .sizes = sizes,
            .measure = [costs](double size) { return costs->at(size).memoryBytes; } },
        { .name = "control_processor",
            .unit = "cores",
            .sizeOf = "members",
            .sizes = sizes,
            .measure = [costs](double size) { return costs->at(size).processorShare; } },
        { .name = "control_bytes",
            .unit = "B/s",
            .sizeOf = "members",
            .sizes = sizes,
            .measure = [costs](double size) { return costs->at(size).bytesPerSecond; } },
        { .name = "control_bytes_worst",
            .unit = "B/s",
            .sizeOf = "members",
            .sizes = sizes,
            .measure = [costs](double size) { return costs->at(size).worstBytesPerSecond; } },
    };
}

}
