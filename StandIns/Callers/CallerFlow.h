#pragma once

#include "CallerStatistics.h"
#include <Common/TcpFlow.h>
#include <Common/Work.h>
#include <LibBase/Random.h>
#include <memory>

namespace StandIn {

/// Traffic that callers generate for one port class.
struct PortClassPlan {
    std::string service;
    std::string portClass;
    Ipv4Endpoint endpoint;
    Transport transport { Transport::Tcp };
    bool idempotent { false };
    /// Rate of new flows.
    double flowsPerSecond { 1 };
    /// Share of flows that stay open and send several requests, 0 to 1.
    double longLivedShare { 0 };
    /// Number of requests per long-lived flow, and the pause between a response and the next request.
    unsigned longLivedRequests { 20 };
    Base::milliseconds pauseBetweenRequests { 500 };
    Base::milliseconds deadline { 2000 };
};

/// A caller's flow over TCP or UDP, from its first packet to its end; records its outcome in the statistics.
class CallerFlow {
public:
    struct Options {
        uint64_t id { 0 };
        const PortClassPlan* plan { nullptr };
        Ipv4Endpoint caller;
        bool longLived { false };
        uint32_t initialSequence { 1 };
        std::function<void(const WirePacket&)> sendPacket;
        std::function<uint64_t()> nextRequestId;
        std::function<int64_t()> wallMilliseconds;
        PortClassStatistics* statistics { nullptr };
    };

    CallerFlow(Options, Base::TimePoint now);

    void receive(Base::TimePoint now, const WirePacket&);
    void tick(Base::TimePoint now);
    /// Sends no further requests; the flow ends after the request in flight.
    void finishAfterCurrentRequest() { remainingRequests_ = 0; }
    /// Whether the flow has ended, successfully or not.
    bool hasEnded() const { return hasEnded_; }

private:
    void sendRequest(Base::TimePoint now);
    void transmitUdp(Base::TimePoint now);
    void handleLine(Base::TimePoint now, const std::string& line);
    void handleResponse(Base::TimePoint now, const WorkResponse&);
    void tickTcp(Base::TimePoint now);
    void tickUdp(Base::TimePoint now);
    void fail(FlowFailure);
    void finish();
    bool isTcp() const { return options_.plan->transport == Transport::Tcp; }

    Options options_;
    std::unique_ptr<TcpFlow> tcp_;
    std::string buffer_;
    unsigned remainingRequests_ { 1 };
    std::optional<WorkRequest> pendingRequest_;
    Base::TimePoint openedAt_;
    Base::TimePoint requestedAt_;
    Base::TimePoint nextRequestAt_;
    Base::TimePoint nextTransmissionAt_;
    Base::TimePoint closedAt_;
    unsigned transmissions_ { 0 };
    int64_t requestSecond_ { 0 };
    int64_t openedWallMilliseconds_ { 0 };
    std::string backendServer_;
    std::string failureDomain_;
    bool isEstablished_ { false };
    bool isClosing_ { false };
    bool hasEnded_ { false };
};

}
