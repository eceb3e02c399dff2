// Placement of flows: construction of a service's bucket table, and look-up of flows in it.

#include "FlowKeys.h"
#include <LibFlow/Version/BucketTable.h>
#include <benchmark/benchmark.h>

namespace {

std::vector<Flow::BucketTable::Share> makeShares(std::size_t count)
{
    std::vector<Flow::BucketTable::Share> shares;
    shares.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        shares.push_back({ .backendServer = { static_cast<uint32_t>(index + 1) }, .weight = 100 });
    return shares;
}

void buildBucketTable(benchmark::State& state)
{
    const auto shares = makeShares(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(Flow::BucketTable({ 1 }, shares));
}

void placeFlows(benchmark::State& state)
{
    const Flow::BucketTable table({ 1 }, makeShares(static_cast<std::size_t>(state.range(0))));
    const auto keys = Benchmarks::makeFlowKeys(4096, 0);
    std::size_t next = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(table.lookUp(keys[next++ % keys.size()].hash()));
    state.SetItemsProcessed(state.iterations());
}

BENCHMARK(buildBucketTable)->Arg(4)->Arg(14)->Arg(100);
BENCHMARK(placeFlows)->Arg(14)->Arg(100);

}
