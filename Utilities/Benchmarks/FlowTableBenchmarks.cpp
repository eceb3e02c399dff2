// Flow table: insertion, look-up of present and absent flows, and look-up in batches with prefetching.

#include "FlowKeys.h"
#include <LibFlow/Connection/FlowTable.h>
#include <benchmark/benchmark.h>

namespace {

constexpr std::size_t batchSize = 64;
constexpr uint64_t seed = 7;

std::unique_ptr<Flow::FlowTable> makeTable(const std::vector<Packet::FlowKey>& keys)
{
    auto table = std::make_unique<Flow::FlowTable>(keys.size(), seed);
    for (const auto& key : keys)
        table->insert(key);
    return table;
}

void insertFlows(benchmark::State& state)
{
    const auto keys = Benchmarks::makeFlowKeys(static_cast<std::size_t>(state.range(0)), 0);
    for (auto _ : state)
        benchmark::DoNotOptimize(makeTable(keys));
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

void findHeldFlows(benchmark::State& state)
{
    const auto keys = Benchmarks::makeFlowKeys(static_cast<std::size_t>(state.range(0)), 0);
    const auto table = makeTable(keys);
    const auto order = Benchmarks::shuffled(keys, seed);
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table->find(order[next]));
        next = next + 1 < order.size() ? next + 1 : 0;
    }
    state.SetItemsProcessed(state.iterations());
}

void findHeldFlowsPrefetched(benchmark::State& state)
{
    const auto keys = Benchmarks::makeFlowKeys(static_cast<std::size_t>(state.range(0)), 0);
    const auto table = makeTable(keys);
    const auto order = Benchmarks::shuffled(keys, seed);
    std::size_t next = 0;
    for (auto _ : state) {
        const auto batch = std::span(order).subspan(next, batchSize);
        for (const auto& key : batch)
            table->prefetchIndex(key);
        for (const auto& key : batch)
            table->prefetchRecord(key);
        for (const auto& key : batch)
            benchmark::DoNotOptimize(table->find(key));
        next = next + 2 * batchSize <= order.size() ? next + batchSize : 0;
    }
    state.SetItemsProcessed(state.iterations() * static_cast<int64_t>(batchSize));
}

void findUnknownFlows(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto table = makeTable(Benchmarks::makeFlowKeys(count, 0));
    const auto order = Benchmarks::shuffled(Benchmarks::makeFlowKeys(count, 1), seed);
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table->find(order[next]));
        next = next + 1 < order.size() ? next + 1 : 0;
    }
    state.SetItemsProcessed(state.iterations());
}

BENCHMARK(insertFlows)->Arg(1'000)->Arg(100'000);
BENCHMARK(findHeldFlows)->Arg(1'000)->Arg(100'000)->Arg(500'000);
BENCHMARK(findHeldFlowsPrefetched)->Arg(1'000)->Arg(100'000)->Arg(500'000);
BENCHMARK(findUnknownFlows)->Arg(1'000)->Arg(500'000);

}
