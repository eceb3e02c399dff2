// Cost of a change of a large configuration at an entry VM: decoding the store's record, relaying it between peers, and
// replacing the routes.

#include <LibMirror/RelayMessage.h>
#include <LibSteering/Version/RouteTable.h>
#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>
#include <platform/RecordDecoder.h>

namespace {

/// Returns the store's configuration record with the given number of routes.
Mirror::Record configurationRecord(int64_t count)
{
    auto routes = nlohmann::json::array();
    for (int64_t index = 0; index < count; ++index) {
        routes.push_back({ { "name", "route-" + std::to_string(index) },
            { "host", "198.18." + std::to_string(index / 200) + "." + std::to_string(index % 200) },
            { "prefix", "/8443/" }, { "route_type", "safe" }, { "timeout_ms", 1500 }, { "aim_ms", 100 },
            { "priority", 2 }, { "service", "service-1" }, { "max_attempts", 2 } });
    }
    const nlohmann::json value { { "version", 7 }, { "routes", routes },
        { "services", nlohmann::json::array({ { { "name", "service-1" } } }) } };
    return { .key = "op/config", .revision = 9, .value = value.dump() };
}

void decodeConfiguration(benchmark::State& state)
{
    const auto record = configurationRecord(state.range(0));
    for (auto _ : state) {
        auto event = Base::capture([&] { return Platform::decodeRecord(record); });
        benchmark::DoNotOptimize(event);
    }
    state.SetBytesProcessed(state.iterations() * static_cast<int64_t>(record.value.size()));
}
BENCHMARK(decodeConfiguration)->Arg(100)->Arg(1400)->Unit(benchmark::kMicrosecond);

void relayConfiguration(benchmark::State& state)
{
    const Mirror::ChangeBatch batch { .after = 8, .upTo = 9, .records = { configurationRecord(state.range(0)) } };
    const auto bytes = Mirror::encodeBatch(batch);
    for (auto _ : state) {
        auto read = Base::capture([&] { return Mirror::decodeBatch(bytes); });
        benchmark::DoNotOptimize(read);
    }
    state.counters["packed_bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(relayConfiguration)->Arg(100)->Arg(1400)->Unit(benchmark::kMicrosecond);

void replaceRoutes(benchmark::State& state)
{
    const auto event = Base::capture([&] { return Platform::decodeRecord(configurationRecord(state.range(0))); });
    const auto& configuration = *std::get<Steering::ConfigurationChanged>(**event.value).configuration;
    Steering::ServerTable servers({});
    Steering::RouteTable routes;
    for (auto _ : state)
        routes.replace(configuration, servers);
}
BENCHMARK(replaceRoutes)->Arg(100)->Arg(1400)->Unit(benchmark::kMicrosecond);

}
