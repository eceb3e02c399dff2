#pragma once

#include "WorkLedger.h"
#include <Common/EventLoop.h>
#include <Common/SprayList.h>
#include <Common/TcpFlow.h>
#include <Common/UdpSocket.h>
#include <LibBase/Random.h>
#include <atomic>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace StandIn {

/// A simulated backend server: receives encapsulated packets from any balancer, executes each request in one of its
/// slots and responds through a random balancer. Refuses new connections beyond its limit, is slower while it warms up
/// and resets unknown flows.
class BackendServer {
public:
    struct Options {
        std::string name;
        std::string service;
        std::string failureDomain;
        unsigned slots { 2 };
        unsigned connections { 2000 };
        /// Maximum requests waiting for a slot; further ones are dropped without a response.
        unsigned queueLimit { 64 };
        /// Mean time for which a request occupies a slot once the server is warm.
        Base::microseconds serviceTime { 8000 };
        /// Time from a cold start to full speed. A cold server takes four times as long per request.
        Base::milliseconds warmUpDuration { 3000 };
        uint64_t seed { 1 };
        UdpSocket tunnel;
        std::shared_ptr<SprayList> balancers;
        std::shared_ptr<WorkLedger> ledger;
    };

    /// Load published by the health and load endpoints; read from other threads.
    struct Load {
        std::atomic<unsigned> slotsInUse { 0 };
        std::atomic<unsigned> connections { 0 };
        std::atomic<uint64_t> startToken { 1 };
    };

    explicit BackendServer(Options);

    /// Registers the socket and the timers with the loop.
    void attachTo(EventLoop&);
    /// Simulates an unannounced restart: keeps the name, loses all flows and is cold again.
    void restart();
    const Load& load() const { return load_; }
    const std::string& name() const { return options_.name; }
    Ipv4Endpoint tunnelEndpoint() const { return options_.tunnel.endpoint(); }
    /// Peak values and counters for the final report.
    nlohmann::json report() const;

private:
    struct Connection {
        std::unique_ptr<TcpFlow> flow;
        std::string buffer;
    };
    struct QueuedWork {
        Ipv4Endpoint caller;
        Ipv4Endpoint service;
        Transport transport { Transport::Tcp };
        WorkRequest request;
    };

    void receiveAll();
    void handleTcpPacket(const WirePacket&);
    void handleUdpPacket(const WirePacket&);
    void openConnection(const WirePacket& synPacket);
    void readRequests(Ipv4Endpoint caller, Ipv4Endpoint service, std::string& buffer);
    void submitWork(QueuedWork);
    void startWork(QueuedWork);
    void finishWork(const QueuedWork&);
    void sendResponse(const QueuedWork&);
    void sendPacket(const WirePacket&);
    void sendReset(const WirePacket& to);
    void tickConnections();
    void removeEndedConnections();
    Base::nanoseconds drawServiceTime();

    Options options_;
    EventLoop* loop_ { nullptr };
    Base::Random random_;
    Load load_;
    std::unordered_map<Ipv4Endpoint, std::unordered_map<Ipv4Endpoint, Connection>> connectionsByService_;
    std::deque<QueuedWork> queue_;
    Base::TimePoint startedAt_;
    unsigned inFlight_ { 0 };
    unsigned peakInFlight_ { 0 };
    unsigned openConnections_ { 0 };
    unsigned peakConnections_ { 0 };
    uint64_t responseCount_ { 0 };
    uint64_t shedCount_ { 0 };
    uint64_t queuedCount_ { 0 };
    uint64_t unknownFlowResetCount_ { 0 };
    uint64_t generation_ { 1 };
};

}
