#pragma once

#include <LibFleet/EntryProcess.h>
#include <LibFleet/FleetCaller.h>
#include <LibFleet/FleetServer.h>
#include <LibFleet/LinkProxy.h>
#include <LibFleet/StoreServer.h>
#include <memory>

namespace StandIn {

/// A complete test deployment: the platform, callers and backend servers are simulated in this process, entry VMs run
/// as processes of their own.
class Deployment {
public:
    struct Options {
        /// Path of the entryd program.
        std::string program;
        /// Directory of the settings files and logs.
        std::string folder;
        uint64_t seed { 1 };
        std::size_t entryVmsPerZone { 2 };
        std::size_t serversPerZone { 4 };
        std::size_t callersPerZone { 1 };
        double requestsPerSecond { 40 };
        /// Number of entry VMs that the settings of all others name as seeds.
        std::size_t seedCount { 3 };
        /// If false, the entry VMs write their output to a pipe that is never read.
        bool isOutputRead { true };
    };

    Deployment(EventLoop&, Options);

    /// An entry VM's store front, its proxy towards peers and the state of its process.
    struct EntryVm {
        std::unique_ptr<StoreServer> store;
        std::unique_ptr<LinkProxy> proxy;
        /// Whether the process is restarted after an exit.
        bool mayRestart { true };
        bool isPaused { false };
        /// Whether the next exit was requested; any other exit is a failure of the program.
        bool isExitExpected { false };
    };

    EventLoop& loop() { return loop_; }
    InvariantChecker& invariants() { return invariants_; }
    Network& network() { return network_; }
    RecordStore& records() { return records_; }
    Base::Random& random() { return random_; }
    uint64_t seed() const { return options_.seed; }
    const std::vector<std::string>& zones() const { return zones_; }
    std::vector<EntryVm>& entryVms() { return entryVms_; }
    EntryProcess& process(std::size_t index) { return *processes_[index]; }
    std::size_t entryVmCount() const { return processes_.size(); }
    std::vector<std::unique_ptr<FleetServer>>& servers() { return servers_; }

    FleetServer& addServer(const std::string& service, const std::string& zone, const Base::Ipv4Endpoint& address = {});
    /// Removes the server's entry from the store and stops the server.
    void removeServer(FleetServer&);
    /// Writes a new version of the configuration to the store, with the current extra routes.
    void writeConfiguration();
    /// Writes the last version again, as operators do when the store came back from a copy.
    void rewriteConfiguration();
    uint64_t configurationVersion() const { return configurationVersion_; }
    void addRoute(uint16_t port);
    void removeRoute(uint16_t port);
    /// Sets the fault on every entry VM's store front.
    void setStoreFault(const StoreFault&);
    void markDisturbed(std::size_t entryVm);
    void stopCallers();
    bool areCallersIdle() const;
    /// Descriptions of entryd exits that were not requested.
    const std::vector<std::string>& unexpectedExits() const { return unexpectedExits_; }

private:
    Base::Ipv4Address address(unsigned subnet, std::size_t index) const;
    void createEntryVms();
    void createCallers();
    void watchProcesses();
    /// Chooses network_.dataPort and returns the sockets that hold it.
    std::vector<int> reserveDataPort();

    EventLoop& loop_;
    Options options_;
    Base::Random random_;
    std::vector<std::string> zones_ { "brum", "notts", "leic" };
    RecordStore records_;
    InvariantChecker invariants_ { {} };
    Network network_;
    std::vector<EntryVm> entryVms_;
    std::vector<std::unique_ptr<EntryProcess>> processes_;
    std::vector<std::unique_ptr<FleetServer>> servers_;
    std::vector<std::unique_ptr<FleetCaller>> callers_;
    std::vector<uint16_t> extraRoutePorts_;
    uint64_t configurationVersion_ { 0 };
    std::string configuration_;
    std::size_t serverCount_ { 0 };
    std::vector<std::string> unexpectedExits_;
};

}
