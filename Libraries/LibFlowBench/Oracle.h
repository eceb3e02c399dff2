#pragma once

#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>
#include <LibFlow/Types.h>
#include <LibFlowBench/WirePacket.h>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace FlowBench {

/// Why an established flow broke, determined with knowledge of the whole deployment.
enum class BreakCause : uint8_t {
    /// No fault could have broken the flow, so a planned change did.
    Planned,
    BalancerLoss,
    Partition,
    DomainOut,
    BackendServerDeath,
};
constexpr std::size_t breakCauseCount = 5;

/// Totals of one run.
struct Counts {
    uint64_t flows { 0 };
    uint64_t established { 0 };
    uint64_t notEstablished { 0 };
    std::array<uint64_t, breakCauseCount> broken {};
    uint64_t wrongService { 0 };
    /// Non-idempotent requests executed more than once, by several backend servers or twice by the same.
    uint64_t doubled { 0 };
    /// Flows refused with ExecutionStatus::NotRun although one of their packets reached a backend server.
    uint64_t falseRefusals { 0 };
    /// First packets and requests that reached a backend server without a free slot or connection.
    uint64_t limitExceeded { 0 };
    uint64_t newWorkToLeaving { 0 };
    /// Packets that reached a backend server after it or its failure domain was taken out and the grace period had
    /// passed.
    uint64_t packetsAfterOut { 0 };
    uint64_t overRamp { 0 };
    uint64_t refused { 0 };
    uint64_t refusedWithRoom { 0 };
    uint64_t lateResponses { 0 };
    /// Responses to an ended flow that reached the caller of a newer flow with the same five-tuple.
    uint64_t misdeliveredResponses { 0 };
    /// Packets without a final action of the decider, and actions on packets that already had their final action.
    uint64_t tokenFaults { 0 };
    /// Packets of unknown flows that backend servers answered with a reset.
    uint64_t resetsByBackendServer { 0 };
    /// Flows of which a first packet or a request reached a backend server, and distinct pairs of flow and backend
    /// server.
    uint64_t flowsReached { 0 };
    uint64_t flowsReachedPairs { 0 };
    std::map<std::string, uint64_t> refusalsByReason;
    std::map<std::string, uint64_t> dropsByReason;
};

/// Requests of one port class that were first sent in one second.
struct ClassSecond {
    uint32_t offered { 0 };
    uint32_t inTime { 0 };
    /// Requests whose flow broke because its backend server or failure domain was taken out.
    uint32_t abandonedRequests { 0 };
};

/// Counts how flows fare, with knowledge of the whole deployment. Influences no decision.
class Oracle {
public:
    Oracle(std::size_t classes, Base::TimePoint start)
        : start_(start)
        , seconds_(classes)
    {
    }

    Counts& counts() { return counts_; }
    const Counts& counts() const { return counts_; }

    /// A first packet or a request of a flow has arrived at a backend server.
    void recordReached(FlowIndex, Base::BackendServerId);
    /// A balancer has refused a flow and stated that none of its packets reached a backend server.
    void recordRefusedAsNotRun(FlowIndex);
    /// A backend server has started to execute a non-idempotent request.
    void recordExecution(FlowIndex, uint32_t request);

    /// A packet of a flow reached a backend server without a free slot or connection.
    void recordLimitExceeded(FlowIndex flow)
    {
        ++counts_.limitExceeded;
        flowsWithViolations_.push_back(flow);
    }

    void recordBalancerLoss(Base::TimePoint at) { lastBalancerLoss_ = at; }
    void recordPartition(Base::TimePoint at) { lastPartition_ = at; }
    void recordBackendServerDeath(Base::BackendServerId id, Base::TimePoint at) { deaths_[id] = at; }
    /// A backend server or its failure domain has been taken out; `effectiveAt` is the end of the period in which
    /// packets may still reach it.
    void recordTakenOut(Base::BackendServerId id, Base::TimePoint effectiveAt) { outs_[id] = effectiveAt; }
    /// An established flow has broken; determines and counts the cause.
    void recordBrokenFlow(Base::TimePoint now, FlowIndex, Base::BackendServerId, Base::TimePoint openedAt);
    /// For traces: broken flows with their causes, and flows with a false refusal, a request executed twice or an
    /// exceeded limit.
    const std::vector<std::pair<FlowIndex, BreakCause>>& brokenFlows() const { return brokenFlows_; }
    const std::vector<FlowIndex>& flowsWithViolations() const { return flowsWithViolations_; }
    /// Returns the cause that a break at this time would be attributed to.
    BreakCause breakCauseAt(Base::TimePoint now, Base::BackendServerId, Base::TimePoint openedAt) const;

    /// Counts a request that starts now and returns its second, which the next two functions expect.
    uint32_t recordRequest(Base::TimePoint now, std::size_t portClass);
    void recordResponseInTime(std::size_t portClass, uint32_t second) { ++seconds_[portClass][second].inTime; }
    void recordAbandonedRequest(std::size_t portClass, uint32_t second)
    {
        ++seconds_[portClass][second].abandonedRequests;
    }
    /// Requests of a port class for each second since the start of the run.
    const std::vector<ClassSecond>& seconds(std::size_t portClass) const { return seconds_[portClass]; }
    /// Smallest inTimeShare() of a single second of [from, to); 1 without requests.
    double worstSecondInTimeShare(std::size_t portClass, uint32_t from, uint32_t to) const;
    /// Fraction of the requests started in the seconds [from, to) that were answered in time, without those given up
    /// because of a removal; 1 without requests.
    double inTimeShare(std::size_t portClass, uint32_t from, uint32_t to) const;

private:
    Base::TimePoint start_;
    Counts counts_;
    std::vector<std::pair<FlowIndex, BreakCause>> brokenFlows_;
    std::vector<FlowIndex> flowsWithViolations_;
    std::unordered_set<FlowIndex> reached_;
    std::set<std::pair<FlowIndex, Base::BackendServerId>> reachedPairs_;
    std::unordered_set<FlowIndex> refusedAsNotRun_;
    std::set<std::pair<FlowIndex, uint32_t>> executedRequests_;
    std::optional<Base::TimePoint> lastBalancerLoss_;
    std::optional<Base::TimePoint> lastPartition_;
    std::map<Base::BackendServerId, Base::TimePoint> deaths_;
    std::map<Base::BackendServerId, Base::TimePoint> outs_;
    std::vector<std::vector<ClassSecond>> seconds_;
};

}
