#pragma once

#include <LibBase/Random.h>
#include <LibFlowBench/ClassTable.h>
#include <LibFlowBench/EventLoop.h>
#include <LibFlowBench/Oracle.h>
#include <LibFlowBench/WirePacket.h>
#include <functional>
#include <vector>

namespace FlowBench {

/// Simulates the callers of one deployment. Each flow opens, sends requests, retransmits what is not acknowledged or
/// answered, and ends.
class CallerPool {
public:
    struct Options {
        uint64_t seed { 1 };
        /// Multiplies the rate of new flows of every port class.
        double loadFactor { 1 };
        /// How many times a caller opens a new flow after a refusal with ExecutionStatus::NotRun; 0 disables retries.
        uint32_t retriesAfterRefusal { 0 };
        /// Delay before each of these retries.
        Base::milliseconds retryDelay { 50 };
        /// Probability that a new flow reuses the five-tuple of the flow that ended last, if it is of the same port
        /// class.
        double fiveTupleReuseProbability { 0 };
        /// Sends a packet through the fabric to a balancer.
        std::function<void(const WirePacket&)> send;
        /// Whether any backend server can accept one more flow of a port class.
        std::function<bool(const ClassInfo&)> hasRoom;
    };

    CallerPool(EventLoop&, Oracle&, const ClassTable&, Options);

    /// Opens flows of every port class until stop() is called.
    void start();
    void stop() { running_ = false; }
    void setLoadFactor(double factor) { options_.loadFactor = factor; }
    /// Opens one long-lived flow, which waits for the given time, on average, between a response and the next request.
    FlowIndex openLongLivedFlow(std::size_t portClass, Base::nanoseconds thinkTime);

    /// Handles a packet for a caller: a backend server's packet or a balancer's refusal.
    void handlePacket(const WirePacket&);
    /// Whether the caller has closed or abandoned a flow.
    bool hasEnded(FlowIndex flow) const { return flows_[flow].state == State::Ended; }
    /// Number of flows opened so far, ended flows included.
    std::size_t size() const { return flows_.size(); }
    std::size_t established() const { return establishedCount_; }
    /// Number of flows that are currently established on a backend server.
    std::size_t establishedOn(Base::BackendServerId) const;
    /// Makes the callers abort all established flows of a backend server and records these flows as broken.
    void abortFlowsOn(Base::BackendServerId);

private:
    enum class State : uint8_t {
        Opening,
        Waiting,
        Thinking,
        Ending,
        Ended,
    };
    struct Flow {
        Packet::FlowKey key;
        uint16_t portClass { 0 };
        State state { State::Opening };
        bool established { false };
        bool longLived { false };
        uint8_t attempts { 0 };
        uint32_t request { 0 };
        uint32_t requestsLeft { 0 };
        uint32_t retries { 0 };
        uint32_t requestSecond { 0 };
        uint32_t timer { 0 };
        FlowIndex successor { 0 };
        Base::BackendServerId backendServer;
        uint64_t connection { 0 };
        Base::TimePoint requestedAt {};
        Base::TimePoint openedAt {};
        Base::nanoseconds thinkTime { 0 };
    };

    void scheduleNext(std::size_t portClass);
    FlowIndex openFlow(std::size_t portClass, uint32_t retries);
    Packet::FlowKey makeKey(const ClassInfo&, FlowIndex);
    void startFlow(FlowIndex);
    void sendCurrent(FlowIndex);
    void armTimer(FlowIndex);
    void handleTimeout(FlowIndex);
    void handleRefusal(FlowIndex, const WirePacket&);
    void handleReset(FlowIndex);
    void handleResponse(FlowIndex, const WirePacket&);
    void establish(FlowIndex, const WirePacket&);
    void nextRequest(FlowIndex);
    void sendRequest(FlowIndex);
    void closeFlow(FlowIndex);
    void recordBreakAndCancel(FlowIndex);
    void abandonOpening(FlowIndex);
    void markEnded(FlowIndex);
    void abortFlow(FlowIndex);
    void sendReset(FlowIndex, uint64_t connection);
    void retryAfterRefusal(FlowIndex);
    bool isUdp(const Flow& flow) const { return flow.key.protocol == Packet::IpProtocol::Udp; }

    EventLoop& loop_;
    Oracle& oracle_;
    const ClassTable& classes_;
    Options options_;
    Base::Random random_;
    bool running_ { false };
    std::size_t establishedCount_ { 0 };
    std::vector<Flow> flows_;
    std::vector<FlowIndex> ended_;
};

}
