// Faults of entry VMs that occur only in whole processes: a lost record, a paused process, output that nobody reads.

#include "SimulatedFleet.h"

#include <LibHttp/HttpClient.h>
#include <LibPeer/Sockets.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <netinet/in.h>
#include <platform/PacketCodec.h>
#include <platform/RecordDecoder.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr Base::milliseconds conditionTimeout { 10'000 };
constexpr Base::milliseconds logPrintTimeout { 1000 };

/// Value of a metric, summed over its labels; 0 if it does not exist.
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

/// Resident memory of a process, in kB.
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

TEST_CASE("an entry VM registers again if the store drops its record although its lease is valid")
{
    SimulatedFleet fleet({ .seed = 6, .entryVmsPerZone = 1, .serversPerZone = 3 });
    const auto id = Base::EntryVmId::fromEndpoint(fleet.deployment().process(0).options().advertised);
    const auto key = Platform::entryVmKey(id);
    auto& records = fleet.deployment().records();
    REQUIRE(records.find(key) != nullptr);
    records.remove(key);
    CHECK(fleet.runUntil(Base::milliseconds(5000), [&] { return records.find(key) != nullptr; }));
    CHECK(fleet.invariants().violations().empty());
}

TEST_CASE("restarted entry VMs fetch the records from a peer that reports to them while the store does not respond")
{
    SimulatedFleet fleet({ .seed = 9, .entryVmsPerZone = 1, .serversPerZone = 3, .seedCount = 0 });
    auto& deployment = fleet.deployment();
    deployment.setStoreFault({ .isUnresponsive = true });
    for (std::size_t index = 0; index < 2; ++index) {
        deployment.entryVms()[index].isExitExpected = true;
        deployment.entryVms()[index].mayRestart = false;
        deployment.process(index).signal(SIGKILL);
    }
    REQUIRE(fleet.runUntil(conditionTimeout,
        [&] { return !deployment.process(0).isInRotation() && !deployment.process(1).isInRotation(); }));
    deployment.process(0).start();
    deployment.process(1).start();
    CHECK(fleet.runUntil(conditionTimeout,
        [&] { return deployment.process(0).isInRotation() && deployment.process(1).isInRotation(); }));
    CHECK(deployment.unexpectedExits().empty());
}

TEST_CASE("after a kill of all entry VMs one of each failure domain reads all pages of the store")
{
    // The stand-in store returns 50 records a page.
    SimulatedFleet fleet({ .seed = 10, .entryVmsPerZone = 3, .serversPerZone = 20, .seedCount = 0 });
    auto& deployment = fleet.deployment();
    deployment.invariants().markAllDisturbed(deployment.loop().now());
    const auto finishedStarts = [&] { return fleet.shell("grep -c 'readiness_changed\",\"ready\":true' all.log"); };
    const bool isStarted = fleet.runUntil(conditionTimeout, [&] { return finishedStarts() == "9\n"; });
    INFO(fleet.shell("wc -l entry-*.log; grep -hE 'readiness_changed|beliefs_complete|program_started' all.log"));
    for (const auto& exit : deployment.unexpectedExits())
        UNSCOPED_INFO(exit);
    REQUIRE(isStarted);
    // At the first start not all others are registered yet.
    const auto deferredReads = [&] { return std::stoi(fleet.shell("grep -c store_read_deferred all.log")); };
    const int deferredBefore = deferredReads();
    for (std::size_t index = 0; index < deployment.entryVmCount(); ++index) {
        deployment.entryVms()[index].isExitExpected = true;
        deployment.process(index).signal(SIGKILL);
    }
    CHECK(fleet.runUntil(conditionTimeout, [&] { return finishedStarts() == "18\n"; }));
    CHECK(deferredReads() - deferredBefore == 6);
    CHECK(deployment.unexpectedExits().empty());
    CHECK(fleet.invariants().violations().empty());
}

TEST_CASE("a datagram that continues after a packet of the maximum size is not forwarded")
{
    SimulatedFleet fleet({ .seed = 11, .entryVmsPerZone = 1, .serversPerZone = 3 });
    const auto& options = fleet.deployment().process(0).options();
    const auto malformed = [&] { return metric(options.metrics, "eelgrasshatch_packets_malformed_total"); };
    const auto before = malformed();
    std::vector<std::byte> datagram(Platform::packetHeaderBytes + Platform::packetDataBytes + 1);
    // The header's length field names the maximum.
    datagram[18] = static_cast<std::byte>(Platform::packetDataBytes >> 8);
    datagram[19] = static_cast<std::byte>(Platform::packetDataBytes & 0xff);
    const int socket = Peer::bindUdp({ .address = options.data.address, .port = 0 }, false).value();
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(options.data.address.value);
    address.sin_port = htons(options.data.port);
    REQUIRE(::sendto(socket, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address))
        == static_cast<ssize_t>(datagram.size()));
    ::close(socket);
    CHECK(fleet.runUntil(conditionTimeout, [&] { return malformed() == before + 1; }));
}

TEST_CASE("packets queued while the process was paused are discarded")
{
    SimulatedFleet fleet({ .seed = 7, .entryVmsPerZone = 1, .serversPerZone = 3 });
    auto& process = fleet.deployment().process(0);
    fleet.invariants().markAllDisturbed(fleet.deployment().loop().now());
    process.signal(SIGSTOP);
    fleet.runFor(Base::milliseconds(2500));
    process.signal(SIGCONT);
    fleet.invariants().markAllDisturbed(fleet.deployment().loop().now());
    const auto discarded = [&] { return metric(process.options().metrics, "eelgrasshatch_packets_discarded_total"); };
    CHECK(fleet.runUntil(conditionTimeout, [&] { return discarded() > 0; }));
    // Log lines are printed in batches, up to 100 ms after the counter has changed.
    const auto pauseLines = [&] { return fleet.shell("grep -c process_paused entry-0.log"); };
    CHECK(fleet.runUntil(logPrintTimeout, [&] { return pauseLines() == "1\n"; }));
    fleet.runFor(logPrintTimeout);
    CHECK(pauseLines() == "1\n");
}

TEST_CASE("an entry VM whose output is not read keeps serving and counts dropped log lines")
{
    SimulatedFleet fleet(
        { .seed = 8, .entryVmsPerZone = 1, .serversPerZone = 6, .requestsPerSecond = 300, .isOutputRead = false });
    const auto& endpoint = fleet.deployment().process(0).options().metrics;
    // Long enough to fill the pipe and the line queue.
    fleet.runFor(Base::milliseconds(25'000));
    CHECK(metric(endpoint, "eelgrasshatch_log_lines_dropped_total") > 0);
    const auto served = fleet.invariants().servedCount();
    CHECK(fleet.runUntil(conditionTimeout, [&] { return fleet.invariants().servedCount() > served + 200; }));
    for (const auto& exit : fleet.deployment().unexpectedExits())
        UNSCOPED_INFO(exit);
    CHECK(fleet.deployment().unexpectedExits().empty());
    // Twice the memory of an ordinary run; the queue must stay bounded.
    CHECK(residentKilobytes(fleet.deployment().process(0).processId()) < 40'000);
}
