#include <LibFlowBench/Oracle.h>
#include <algorithm>

namespace FlowBench {

namespace {

    /// A flow that breaks within this time of a fault counts as broken by it, as callers retransmit for this long.
    constexpr Base::seconds faultAttributionPeriod { 40 };

    bool isRecent(const std::optional<Base::TimePoint>& fault, Base::TimePoint now)
    {
        return fault && now - *fault <= faultAttributionPeriod;
    }

}

void Oracle::recordReached(FlowIndex flow, Base::BackendServerId id)
{
    if (reachedPairs_.insert({ flow, id }).second)
        ++counts_.flowsReachedPairs;
    if (!reached_.insert(flow).second)
        return;
    ++counts_.flowsReached;
    if (!refusedAsNotRun_.contains(flow))
        return;
    ++counts_.falseRefusals;
    flowsWithViolations_.push_back(flow);
}

void Oracle::recordRefusedAsNotRun(FlowIndex flow)
{
    if (!refusedAsNotRun_.insert(flow).second || !reached_.contains(flow))
        return;
    ++counts_.falseRefusals;
    flowsWithViolations_.push_back(flow);
}

void Oracle::recordExecution(FlowIndex flow, uint32_t request)
{
    if (executedRequests_.insert({ flow, request }).second)
        return;
    ++counts_.doubled;
    flowsWithViolations_.push_back(flow);
}

BreakCause Oracle::breakCauseAt(Base::TimePoint now, Base::BackendServerId id, Base::TimePoint openedAt) const
{
    const auto out = outs_.find(id);
    if (out != outs_.end() && openedAt <= out->second)
        return BreakCause::DomainOut;
    const auto death = deaths_.find(id);
    if (death != deaths_.end() && death->second >= openedAt)
        return BreakCause::BackendServerDeath;
    if (isRecent(lastPartition_, now))
        return BreakCause::Partition;
    if (isRecent(lastBalancerLoss_, now))
        return BreakCause::BalancerLoss;
    return BreakCause::Planned;
}

void Oracle::recordBrokenFlow(Base::TimePoint now, FlowIndex flow, Base::BackendServerId id, Base::TimePoint openedAt)
{
    const auto cause = breakCauseAt(now, id, openedAt);
    ++counts_.broken[static_cast<std::size_t>(cause)];
    brokenFlows_.emplace_back(flow, cause);
}

uint32_t Oracle::recordRequest(Base::TimePoint now, std::size_t portClass)
{
    const auto second = static_cast<uint32_t>(std::chrono::duration_cast<Base::seconds>(now - start_).count());
    auto& seconds = seconds_[portClass];
    if (seconds.size() <= second)
        seconds.resize(second + 1);
    ++seconds[second].offered;
    return second;
}

double Oracle::worstSecondInTimeShare(std::size_t portClass, uint32_t from, uint32_t to) const
{
    double worst = 1;
    for (uint32_t second = from; second < to; ++second)
        worst = std::min(worst, inTimeShare(portClass, second, second + 1));
    return worst;
}

double Oracle::inTimeShare(std::size_t portClass, uint32_t from, uint32_t to) const
{
    uint64_t offered = 0;
    uint64_t inTime = 0;
    const auto& seconds = seconds_[portClass];
    for (std::size_t second = from; second < std::min<std::size_t>(to, seconds.size()); ++second) {
        offered += seconds[second].offered - seconds[second].abandonedRequests;
        inTime += seconds[second].inTime;
    }
    return offered == 0 ? 1 : static_cast<double>(inTime) / static_cast<double>(offered);
}

}
