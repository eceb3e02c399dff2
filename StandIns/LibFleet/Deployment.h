#pragma once

#include <LibFleet/EntryProcess.h>
#include <LibFleet/FleetCaller.h>
#include <LibFleet/FleetServer.h>
#include <LibFleet/LinkProxy.h>
#include <LibFleet/StoreServer.h>
#include <memory>

namespace StandIn {

/// Everything that one soak plays: the platform, callers and backend servers in this process, entry VMs as processes.
class Deployment {
public:
    struct Options {
        /// Path of the entryd program.
        std::string program;
        /// For settings files and logs.
        std::string folder;
        uint64_t seed { 1 };
        std::size_t entryVmsPerZone { 2 };
        std::size_t serversPerZone { 4 };
        std::size_t callersPerZone { 1 };
        double requestsPerSecond { 40 };
        /// Whether somebody reads what the entry VMs write.
        bool isOutputRead { true };
    };

    Deployment(EventLoop&, Options);

    /// An entry VM with what surrounds it.
    struct EntryVm {
        std::unique_ptr<StoreServer> store;
        std::unique_ptr<LinkProxy> proxy;
        /// Restart after an end, unless it is held back.
        bool mayRestart { true };
        bool isPaused { false };
        /// Its ends are asked for until then; others are failures of the program.
        bool isEndExpected { false };
    };

    EventLoop& loop() { return loop_; }
    Ledger& ledger() { return ledger_; }
    Network& network() { return network_; }
    RecordStore& records() { return records_; }
    Base::Random& random() { return random_; }
    uint64_t seed() const { return options_.seed; }
    const std::vector<std::string>& zones() const { return zones_; }
    std::vector<EntryVm>& entryVms() { return surroundings_; }
    EntryProcess& process(std::size_t index) { return *processes_[index]; }
    std::size_t entryVmCount() const { return processes_.size(); }
    std::vector<std::unique_ptr<FleetServer>>& servers() { return servers_; }

    FleetServer& addServer(const std::string& service, const std::string& zone, const Base::Ipv4Endpoint& address = {});
    /// Removes the server's entry and ends it.
    void endServer(FleetServer&);
    /// Writes the configuration with the extra routes of now.
    void writeConfiguration();
    void addRoute(uint16_t port);
    void removeRoute(uint16_t port);
    /// Applies to the store's front of each entry VM.
    void setStoreFault(const StoreFault&);
    void disturb(std::size_t entryVm);
    void finishCallers();
    bool areCallersIdle() const;
    /// Ends of entryd that nobody asked for.
    const std::vector<std::string>& unexpectedEnds() const { return unexpectedEnds_; }

private:
    Base::Ipv4Address address(unsigned group, std::size_t index) const;
    void createEntryVms();
    void createCallers();
    void watchProcesses();
    uint16_t findDataPort() const;

    EventLoop& loop_;
    Options options_;
    Base::Random random_;
    std::vector<std::string> zones_ { "brum", "notts", "leic" };
    RecordStore records_;
    Ledger ledger_ { {} };
    Network network_;
    std::vector<EntryVm> surroundings_;
    std::vector<std::unique_ptr<EntryProcess>> processes_;
    std::vector<std::unique_ptr<FleetServer>> servers_;
    std::vector<std::unique_ptr<FleetCaller>> callers_;
    std::vector<uint16_t> extraRoutes_;
    uint64_t version_ { 0 };
    std::size_t serverCount_ { 0 };
    std::vector<std::string> unexpectedEnds_;
};

}
