// eelgrasshatch-soak: runs entry VMs as processes in a small simulated deployment, injects faults from outside, and
// checks invariants against what callers and backend servers observe. Exit code 1: an invariant was violated.

#include "FaultInjector.h"

#include <Common/ProgramOptions.h>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

namespace {

using Base::milliseconds;

/// Time between the start of the processes and the first fault.
constexpr milliseconds startupTime { 2500 };
/// Time between the last fault and the end of the requests: the settling time of the invariants (4 s) and 5 s of
/// undisturbed operation.
constexpr milliseconds settlingTime { 9000 };
constexpr milliseconds finishTimeout { 5000 };

int report(
    StandIn::Deployment& deployment, const StandIn::FaultInjector& faults, uint64_t seed, const std::string& folder)
{
    const auto& invariants = deployment.invariants();
    uint64_t callCount = 0;
    for (const auto& entryVm : deployment.entryVms())
        callCount += entryVm.store->callCount();
    std::printf("seed %llu: %llu served, %llu failed, %llu store calls, %zu faults\n",
        static_cast<unsigned long long>(seed), static_cast<unsigned long long>(invariants.servedCount()),
        static_cast<unsigned long long>(invariants.failedCount()), static_cast<unsigned long long>(callCount),
        faults.schedule().size());
    const bool isGood
        = invariants.violations().empty() && deployment.unexpectedExits().empty() && invariants.servedCount() > 0;
    if (isGood)
        return 0;
    for (const auto& fault : faults.schedule())
        std::printf("  fault at %s\n", fault.c_str());
    for (const auto& violation : invariants.violations())
        std::printf("  BROKEN %s\n", violation.c_str());
    for (const auto& end : deployment.unexpectedExits())
        std::printf("  BROKEN %s\n", end.c_str());
    std::printf("  logs are kept in %s\n", folder.c_str());
    return 1;
}

int soak(const cxxopts::ParseResult& arguments)
{
    const auto seed = arguments["seed"].as<uint64_t>();
    const auto faultDuration = milliseconds(1000 * arguments["seconds"].as<uint64_t>());
    std::string folder = (std::filesystem::temp_directory_path() / "eelgrasshatch-soak-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        std::fprintf(stderr, "eelgrasshatch-soak: cannot create a folder for logs\n");
        return 2;
    }
    int code = 0;
    {
        StandIn::EventLoop loop;
        StandIn::Deployment deployment(loop,
            { .program = arguments["entryd"].as<std::string>(),
                .folder = folder,
                .seed = seed,
                .entryVmsPerZone = arguments["entry-vms"].as<std::size_t>(),
                .serversPerZone = arguments["servers"].as<std::size_t>(),
                .requestsPerSecond = arguments["rate"].as<double>() });
        // Callers send requests while the processes are still starting.
        deployment.invariants().markAllDisturbed(loop.now());
        StandIn::FaultInjector faults(deployment);
        faults.plan(startupTime, startupTime + faultDuration);
        loop.after(startupTime + faultDuration + settlingTime, [&] { deployment.stopCallers(); });
        loop.after(startupTime + faultDuration + settlingTime + finishTimeout, [&] { loop.stop(); });
        loop.run();
        code = report(deployment, faults, seed, folder);
    }
    if (code == 0)
        std::filesystem::remove_all(folder);
    return code;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("eelgrasshatch-soak", "Disturbs entry VMs that run as processes and checks the promises.");
    options.add_options()("seed", "what happens, and when", cxxopts::value<uint64_t>()->default_value("1"));
    options.add_options()("seconds", "time with faults", cxxopts::value<uint64_t>()->default_value("15"));
    options.add_options()("entryd", "path of the program", cxxopts::value<std::string>());
    options.add_options()("entry-vms", "in each failure domain", cxxopts::value<std::size_t>()->default_value("2"));
    options.add_options()("servers", "in each failure domain", cxxopts::value<std::size_t>()->default_value("5"));
    options.add_options()("rate", "requests a second of each caller", cxxopts::value<double>()->default_value("40"));
    return StandIn::runProgram(argc, argv, std::move(options), soak);
}
