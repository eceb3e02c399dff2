#pragma once

#include <Common/EventLoop.h>
#include <LibFleet/FlowPacket.h>
#include <LibFleet/InvariantChecker.h>
#include <LibFleet/Network.h>
#include <LibFleet/RecordStore.h>
#include <deque>
#include <memory>

namespace StandIn {

/// A simulated backend server: registers in the store, receives encapsulated flows over UDP and executes requests in a
/// small number of slots.
class FleetServer {
public:
    struct Options {
        std::string id;
        uint64_t number { 0 };
        std::string service;
        std::string zone;
        /// Port 0: chosen by the kernel.
        Base::Ipv4Endpoint address;
        Base::milliseconds remainingWarmUp { 0 };
    };

    FleetServer(EventLoop&, RecordStore&, InvariantChecker&, const Network&, Options);
    ~FleetServer();
    FleetServer(const FleetServer&) = delete;
    FleetServer& operator=(const FleetServer&) = delete;

    /// Announces in the store that it is leaving; keeps serving.
    void drain(Base::TimePoint now);
    /// Stops without notice; its entry stays in the store.
    void crash(Base::TimePoint now);
    /// Removes the entry from the store, as the platform does after missed heartbeats.
    void removeEntry() const { records_.remove("servers/" + options_.id); }
    void rewriteEntry() { writeEntry(); }

    const InvariantChecker::Server& record() const { return record_; }
    const Options& options() const { return options_; }
    Base::Ipv4Endpoint address() const { return address_; }
    bool isAlive() const { return record_.isAlive; }

private:
    struct Flow {
        uint32_t callerSequence { 0 };
        uint32_t serverSequence { 0 };
        uint32_t echo { 0 };
        Base::Ipv4Endpoint route;
        bool isOpen { false };
        bool isRequestInFlight { false };
        std::string response;
        /// Sequence number after the last request that was accepted or refused; 0 before the first.
        uint32_t requestEndSequence { 0 };
    };

    void writeEntry();
    void receive();
    void handlePacket(Base::TimePoint now, Base::Ipv4Address entryVm, const FlowPacket&);
    void handleFirstPacket(Base::TimePoint now, Base::Ipv4Address entryVm, const FlowPacket&);
    void handleData(Base::TimePoint now, Flow&, const FlowPacket&);
    void startWork(const Base::Ipv4Endpoint& caller, const std::string& request);
    void finishWork(const Base::Ipv4Endpoint& caller, const std::string& request);
    void sendResponse(const Base::Ipv4Endpoint& caller, const Flow&);
    void sendPacket(const FlowPacket& packet, const Base::Ipv4Endpoint& caller) const;

    EventLoop& loop_;
    RecordStore& records_;
    InvariantChecker& invariants_;
    const Network& network_;
    Options options_;
    int socket_;
    Base::Ipv4Endpoint address_;
    InvariantChecker::Server record_;
    std::map<Base::Ipv4Endpoint, Flow> flows_;
    unsigned busySlots_ { 0 };
    std::deque<std::function<void()>> queue_;
    uint32_t nextSequence_ { 1 };
    /// False after destruction, so that pending callbacks do nothing.
    uint64_t sequence_ { 0 };
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}
