#pragma once

#include <Common/EventLoop.h>
#include <LibBase/Random.h>
#include <LibFleet/EntryProcess.h>
#include <LibFleet/FlowPacket.h>
#include <LibFleet/InvariantChecker.h>
#include <LibFleet/Network.h>
#include <memory>
#include <optional>

namespace StandIn {

/// A simulated caller in one failure domain; also chooses the entry VM for each packet as the fabric does. Keeps
/// several requests in flight and reuses a share of its flows for further requests.
class FleetCaller {
public:
    struct Options {
        Base::Ipv4Address address;
        std::string zone;
        uint64_t seed { 1 };
        /// Routes of idempotent requests (views) and of non-idempotent ones (claims).
        std::vector<Base::Ipv4Endpoint> idempotentRoutes;
        std::vector<Base::Ipv4Endpoint> nonIdempotentRoutes;
        double requestsPerSecond { 20 };
        /// Share of the flows that carry several requests, 0 to 1.
        double persistentFlowShare { 0.2 };
    };

    FleetCaller(
        EventLoop&, InvariantChecker&, const Network&, const std::vector<std::unique_ptr<EntryProcess>>&, Options);
    ~FleetCaller();
    FleetCaller(const FleetCaller&) = delete;
    FleetCaller& operator=(const FleetCaller&) = delete;

    /// Stops starting requests; those in flight are completed.
    void stopNewRequests() { stopping_ = true; }
    bool isIdle() const { return requests_.empty(); }

private:
    struct Request {
        std::string id;
        bool isIdempotent { true };
        Base::Ipv4Endpoint route;
        int attempts { 0 };
        Base::TimePoint startedAt;
        Base::TimePoint deadline;
        /// Number of requests still to follow on the same flow.
        int followingRequests { 0 };
    };

    struct Flow {
        uint64_t request { 0 };
        FlowPacket firstPacket;
        int retransmissions { 0 };
        bool isOpen { false };
        /// A request was sent and its response is outstanding.
        bool isAwaitingResponse { false };
        uint32_t nextSequence { 0 };
        uint32_t nextServerSequence { 0 };
        uint32_t echo { 0 };
        std::string requestText;
        Base::milliseconds retransmissionInterval { 200 };
        Base::TimePoint retransmitAt;
    };

    void scheduleNext();
    void startRequest();
    void startAttempt(uint64_t request);
    void receive();
    void handlePacket(const FlowPacket&, Flow&);
    void sendRequest(Flow&);
    void tick();
    void handleResponse(uint16_t port, Flow&, bool isRefused);
    /// Retries the request or records its failure. isKnownUnexecuted: no server can have executed it, so that even a
    /// non-idempotent request may be retried.
    void handleAttemptFailure(uint16_t port, bool isKnownUnexecuted);
    void closeFlow(uint16_t port, Flow&);
    void send(const FlowPacket&);
    const EntryProcess* chooseEntryVm(const FlowPacket&) const;

    EventLoop& loop_;
    InvariantChecker& invariants_;
    const Network& network_;
    const std::vector<std::unique_ptr<EntryProcess>>& entryVms_;
    Options options_;
    int socket_;
    Base::Random random_;
    std::map<uint64_t, Request> requests_;
    std::map<uint16_t, Flow> flows_;
    uint64_t nextRequest_ { 1 };
    uint16_t lastPort_ { 1024 };
    bool stopping_ { false };
};

}
