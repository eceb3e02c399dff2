// What entry VMs do about disturbances that only whole processes meet.

#include "PlayedFleet.h"

#include <LibHttp/HttpClient.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <platform/RecordDecoder.h>

namespace {

constexpr Base::milliseconds patience { 10'000 };

/// The figure of a metric, summed over its labels; 0 when it is not there.
double metric(const Base::Ipv4Endpoint& endpoint, const std::string& name)
{
    Http::HttpClient client({ .server = endpoint, .connectTimeout = Base::milliseconds(1000) });
    const auto response
        = Base::capture([&] { return client.call({ .target = "/metrics" }, Base::milliseconds(2000)); });
    if (!response.isOk())
        return 0;
    std::istringstream lines(response.value->body);
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name) && (line[name.size()] == ' ' || line[name.size()] == '{'))
            sum += std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
}

/// Memory that a process holds, in kB.
long residentKilobytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stol(line.substr(6));
    }
    return 0;
}

}

TEST_CASE("an entry VM whose record the store took is listed again although its lease lives on")
{
    PlayedFleet fleet({ .seed = 6, .entryVmsPerZone = 1, .serversPerZone = 3 });
    const auto id = Base::EntryVmId::fromEndpoint(fleet.deployment().process(0).options().advertised);
    const auto key = Platform::entryVmKey(id);
    auto& records = fleet.deployment().records();
    REQUIRE(records.find(key) != nullptr);
    records.remove(key);
    CHECK(fleet.runUntil(Base::milliseconds(5000), [&] { return records.find(key) != nullptr; }));
    CHECK(fleet.ledger().violations().empty());
}

TEST_CASE("packets that waited while the process did not run are discarded")
{
    PlayedFleet fleet({ .seed = 7, .entryVmsPerZone = 1, .serversPerZone = 3 });
    auto& process = fleet.deployment().process(0);
    fleet.ledger().disturbEverything(fleet.deployment().loop().now());
    process.signal(SIGSTOP);
    fleet.runFor(Base::milliseconds(2500));
    process.signal(SIGCONT);
    fleet.ledger().disturbEverything(fleet.deployment().loop().now());
    const auto discarded = [&] { return metric(process.options().metrics, "eelgrasshatch_packets_discarded_total"); };
    CHECK(fleet.runUntil(patience, [&] { return discarded() > 0; }));
    CHECK(fleet.shell("grep -c process_paused entry-0.log") == "1\n");
}

TEST_CASE("an entry VM whose output nobody reads serves on and counts the lines that it leaves out")
{
    PlayedFleet fleet(
        { .seed = 8, .entryVmsPerZone = 1, .serversPerZone = 6, .requestsPerSecond = 300, .isOutputRead = false });
    const auto& endpoint = fleet.deployment().process(0).options().metrics;
    // Longer than the pipe and the queue of lines take to fill.
    fleet.runFor(Base::milliseconds(25'000));
    CHECK(metric(endpoint, "eelgrasshatch_log_lines_dropped_total") > 0);
    const auto served = fleet.ledger().servedCount();
    CHECK(fleet.runUntil(patience, [&] { return fleet.ledger().servedCount() > served + 200; }));
    CHECK(fleet.deployment().unexpectedEnds().empty());
    // The queue is bounded; twice what an ordinary run takes.
    CHECK(residentKilobytes(fleet.deployment().process(0).processId()) < 40'000);
}
