#pragma once

#include <LibBase/Random.h>
#include <LibFlowBench/ClassTable.h>
#include <LibFlowBench/EventLoop.h>
#include <LibFlowBench/Oracle.h>
#include <LibFlowBench/WirePacket.h>
#include <deque>
#include <functional>
#include <unordered_map>

namespace FlowBench {

/// How the load reports of a backend server differ from its state.
enum class ReportFault : uint8_t {
    None,
    /// Reported as unhealthy although it serves requests.
    FalselyUnhealthy,
    /// Reported without slots in use whatever its load is.
    FalselyIdle,
};

/// Simulates a backend server with limits on slots and connections, a request queue and a warm-up. Answers packets of
/// unknown flows with a reset.
class FakeBackendServer {
public:
    struct Options {
        Base::BackendServerId id;
        Base::ServiceId service;
        /// Index in Deployment::failureDomains.
        std::size_t domain { 0 };
        uint32_t slots { 2 };
        uint32_t connections { 2000 };
        Base::nanoseconds warmUp { Base::seconds(10) };
        /// Number of requests queued for a slot from which on first packets of new flows are reset.
        std::size_t queueLimit { 64 };
        uint64_t seed { 1 };
        /// Whether it is already warmed up when it is created.
        bool startsWarm { true };
        /// Sends a packet of this server through the fabric to a balancer.
        std::function<void(const WirePacket&)> send;
        /// Whether the caller has closed or abandoned a flow.
        std::function<bool(FlowIndex)> hasEnded;
    };

    FakeBackendServer(EventLoop&, Oracle&, const ClassTable&, Options);

    const Options& options() const { return options_; }
    void handlePacket(const WirePacket&);

    /// Discards all state and starts a new warm-up, without a notice to the balancers.
    void restart();
    /// Discards all state and ignores packets until restart().
    void stop();
    bool isUp() const { return up_; }

    /// Operators are draining or removing it: new flows that arrive after this time are violations.
    void setLeavingAfter(std::optional<Base::TimePoint> at) { leavingAfter_ = at; }
    /// Operators have taken it or its failure domain out: packets that arrive after this time are violations.
    void setOutAfter(std::optional<Base::TimePoint> at) { outAfter_ = at; }
    void setLimits(uint32_t slots, uint32_t connections);
    void setReportFault(ReportFault fault) { reportFault_ = fault; }
    /// Multiplies the service time of requests.
    void setServiceTimeFactor(double factor) { serviceTimeFactor_ = factor; }
    /// While set, resets the first packets of new flows, whatever the load.
    void setShedding(bool shedding) { shedding_ = shedding; }

    Flow::BackendServerReport report() const;
    uint32_t slotsInUse() const { return slotsInUse_; }
    std::size_t connections() const { return flows_.size(); }
    bool isWarm() const { return loop_.now() - startedAt_ >= options_.warmUp; }
    /// Whether the server could accept one more flow of the given slot use now.
    bool hasRoom(Configuration::SlotUse) const;
    /// Number of connections opened since creation.
    uint64_t opened() const { return opened_; }
    /// Total service time of completed requests, over all slots, since creation.
    Base::nanoseconds busy() const { return busyTime_; }

private:
    struct OpenFlow {
        FlowIndex flow { 0 };
        /// Represents the server's initial sequence number.
        uint64_t connection { 0 };
        uint16_t portClass { 0 };
        uint32_t lastCompletedRequest { 0 };
        uint32_t currentRequest { 0 };
        bool isExecuting { false };
        Base::TimePoint lastPacket {};
    };
    struct QueuedRequest {
        WirePacket packet;
        uint64_t incarnation { 0 };
    };

    void countArrivalViolations(const WirePacket&);
    void handleFirstPacket(const WirePacket&);
    void handleRequest(OpenFlow&, const WirePacket&);
    void handleFinOrReset(const WirePacket&);
    void openConnection(const WirePacket&);
    void countOpeningViolations(const WirePacket&);
    void close(const Packet::FlowKey&);
    void closeEndedFlows();
    void executeRequest(const WirePacket&);
    void completeRequest(const WirePacket&, Base::nanoseconds executionTime);
    void startQueuedRequest();
    void occupySlot(FlowIndex);
    void sendResponse(const WirePacket&, Packet::TcpFlags, uint32_t request);
    void resetUnknownFlow(const WirePacket&);
    bool isPerFlow(uint16_t portClass) const;
    bool isPerRequest(uint16_t portClass) const;
    double warmUpProgress() const;

    EventLoop& loop_;
    Oracle& oracle_;
    const ClassTable& classes_;
    Options options_;
    Base::Random random_;
    bool up_ { true };
    bool shedding_ { false };
    ReportFault reportFault_ { ReportFault::None };
    double serviceTimeFactor_ { 1 };
    Base::TimePoint startedAt_;
    uint64_t incarnation_ { 1 };
    uint64_t nextConnection_ { 1 };
    std::optional<Base::TimePoint> leavingAfter_;
    std::optional<Base::TimePoint> outAfter_;
    uint32_t slotsInUse_ { 0 };
    std::unordered_map<Packet::FlowKey, OpenFlow> flows_;
    std::unordered_map<FlowIndex, Base::TimePoint> closed_;
    std::deque<QueuedRequest> requestQueue_;
    uint64_t opened_ { 0 };
    Base::nanoseconds busyTime_ { 0 };
};

}
