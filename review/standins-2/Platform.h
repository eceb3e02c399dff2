#pragma once

#include "Fleet.h"

namespace Review {

/// The store with one front for all entry VMs, the operator's first configuration, and the entry VMs of a case.
class Platform {
public:
    struct Options {
        std::string program;
        std::string folder;
        std::string record;
        std::vector<std::string> zones;
        /// The zone of each entry VM.
        std::vector<std::string> entryVmZones;
    };
    struct Service {
        std::string name;
        Base::Ipv4Endpoint route;
        std::string routeType { "unsafe" };
        int latencyObjectiveMs { 400 };
        int timeoutMs { 10'000 };
        double warmUpSeconds { 0 };
        double warmUpPerSecond { 0 };
    };

    explicit Platform(Options);

    StandIn::EventLoop& loop() { return loop_; }
    StandIn::RecordStore& records() { return records_; }
    StandIn::StoreServer& store() { return store_; }
    Record& record() { return record_; }
    std::vector<std::unique_ptr<EntryVm>>& entryVms() { return entryVms_; }
    std::vector<std::unique_ptr<Server>>& servers() { return servers_; }
    std::vector<std::unique_ptr<Caller>>& callers() { return callers_; }
    const std::vector<std::unique_ptr<Caller>>& callers() const { return callers_; }
    uint16_t dataPort() const { return dataPort_; }

    void writeConfiguration(const std::vector<Service>&);
    void addServer(Server::Options);
    void addCaller(Caller::Options);
    /// Entry VMs that end by themselves are started again, those that were stopped by a case are not.
    void expectExit(std::size_t entryVm) { expectedExits_.insert(entryVm); }
    /// Runs the loop for this long.
    void runFor(Base::milliseconds);
    bool areAllReady() const;
    unsigned unexpectedExits() const { return unexpectedExits_; }
    /// Requests that ran more than once.
    unsigned repeatedRuns() const;

private:
    void watchProcesses();

    Options options_;
    StandIn::EventLoop loop_;
    Record record_;
    StandIn::RecordStore records_;
    StandIn::StoreServer store_;
    std::vector<std::unique_ptr<EntryVm>> entryVms_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::set<std::size_t> expectedExits_;
    uint16_t dataPort_ { 0 };
    uint64_t version_ { 0 };
    unsigned unexpectedExits_ { 0 };
};

}
