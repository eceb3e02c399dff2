#pragma once

#include <Common/EventLoop.h>
#include <LibFleet/FlowPacket.h>
#include <LibFleet/Ledger.h>
#include <LibFleet/Network.h>
#include <LibFleet/RecordStore.h>
#include <deque>
#include <memory>

namespace StandIn {

/// A backend server of the users' platform: registers in the store, takes flows over UDP, works with few slots.
class FleetServer {
public:
    struct Options {
        std::string id;
        uint64_t number { 0 };
        std::string service;
        std::string zone;
        /// Port 0: the kernel chooses.
        Base::Ipv4Endpoint address;
        Base::milliseconds warmUpLeft { 0 };
    };

    FleetServer(EventLoop&, RecordStore&, Ledger&, const Network&, Options);
    ~FleetServer();
    FleetServer(const FleetServer&) = delete;
    FleetServer& operator=(const FleetServer&) = delete;

    /// Says that it leaves; serves on.
    void drain(Base::TimePoint now);
    /// Ends at once and says nothing; its entry stays.
    void crash(Base::TimePoint now);
    /// Leaves the store's list, as after the platform's silence.
    void unlist() const { records_.remove("servers/" + options_.id); }
    void registerAgain() const { writeEntry(); }

    const Ledger::Server& record() const { return record_; }
    const Options& options() const { return options_; }
    Base::Ipv4Endpoint address() const { return address_; }
    bool isAlive() const { return record_.isAlive; }

private:
    struct Flow {
        uint32_t callerSequence { 0 };
        uint32_t ownSequence { 0 };
        uint32_t echo { 0 };
        Base::Ipv4Endpoint route;
        bool isOpen { false };
        bool isWorking { false };
        std::string answer;
        /// The caller's bytes that were answered.
        uint32_t answeredSequence { 0 };
    };

    void writeEntry() const;
    void receive();
    void take(Base::TimePoint now, Base::Ipv4Address entryVm, const FlowPacket&);
    void takeFirst(Base::TimePoint now, Base::Ipv4Address entryVm, const FlowPacket&);
    void takeData(Base::TimePoint now, Flow&, const FlowPacket&);
    void work(const Base::Ipv4Endpoint& caller, const std::string& request);
    void finishWork(const Base::Ipv4Endpoint& caller, const std::string& request);
    void sendAnswer(const Base::Ipv4Endpoint& caller, const Flow&);
    void reply(const FlowPacket& packet, const Base::Ipv4Endpoint& caller) const;

    EventLoop& loop_;
    RecordStore& records_;
    Ledger& ledger_;
    const Network& network_;
    Options options_;
    int socket_;
    Base::Ipv4Endpoint address_;
    Ledger::Server record_;
    std::map<Base::Ipv4Endpoint, Flow> flows_;
    unsigned busySlots_ { 0 };
    std::deque<std::function<void()>> queue_;
    uint32_t nextSequence_ { 1 };
    /// Callbacks that outlive the server do nothing.
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}
