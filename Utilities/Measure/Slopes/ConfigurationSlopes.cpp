#include "../ResourceUse.h"
#include "SampleConfiguration.h"
#include "SlopeSeries.h"
#include <LibConfiguration/Change.h>
#include <numeric>

namespace Measure {

namespace {

    constexpr std::size_t partBytes = 16 * 1024;
    constexpr int appliedChanges = 20;

    double snapshotMemory(double backendServers)
    {
        const auto before = heapBytesInUse();
        const auto snapshot
            = std::make_unique<Configuration::Snapshot>(sampleConfiguration(static_cast<std::size_t>(backendServers)));
        return static_cast<double>(heapBytesInUse() - before);
    }

    double encodedBytes(double backendServers)
    {
        const auto parts
            = Configuration::encodeSnapshot(sampleConfiguration(static_cast<std::size_t>(backendServers)), partBytes);
        return std::accumulate(parts.begin(), parts.end(), 0.0,
            [](double sum, const std::string& part) { return sum + static_cast<double>(part.size()); });
    }

    /// Returns a weight change of one backend server.
    Configuration::Change sampleChange(const Configuration::Snapshot& snapshot)
    {
        const auto& service = snapshot.services.begin()->second;
        auto server = service.backendServers.front();
        server.weight = server.weight == 100 ? 50 : 100;
        return {
            .revision = { snapshot.revision.value + 1 },
            .requestId = "slope-" + std::to_string(snapshot.revision.value),
            .author = "slopes",
            .reason = "measurement",
            .base = service.changedAt,
            .operation = Configuration::PutBackendServer { .service = service.name, .backendServer = server },
        };
    }

    double applyMicroseconds(double backendServers)
    {
        auto snapshot = sampleConfiguration(static_cast<std::size_t>(backendServers));
        const auto before = threadProcessorTime();
        for (int index = 0; index < appliedChanges; ++index) {
            auto next = Base::capture([&] { return Configuration::apply(snapshot, sampleChange(snapshot)); });
            if (!next.isOk())
                return -1;
            snapshot = std::move(*next.value);
        }
        return Base::toSeconds(threadProcessorTime() - before) * 1e6 / appliedChanges;
    }

    double changeBytes(double backendServers)
    {
        return static_cast<double>(
            Configuration::encodeChange(sampleChange(sampleConfiguration(static_cast<std::size_t>(backendServers))))
                .size());
    }

}

std::vector<SlopeSeries> configurationSeries(uint64_t)
{
    const std::vector<double> sizes { 18, 1000, 7000, 14000, 28000 };
    return {
        { .name = "snapshot_memory",
            .unit = "B",
            .sizeOf = "backend servers",
            .sizes = sizes,
            .measure = snapshotMemory },
        { .name = "snapshot_encoded",
            .unit = "B",
            .sizeOf = "backend servers",
            .sizes = sizes,
            .measure = encodedBytes },
        { .name = "change_apply",
            .unit = "us",
            .sizeOf = "backend servers",
            .sizes = sizes,
            .measure = applyMicroseconds },
        { .name = "change_bytes", .unit = "B", .sizeOf = "backend servers", .sizes = sizes, .measure = changeBytes },
    };
}

}
