#include <LibSteering/Connection/FlowTable.h>

#include <algorithm>

namespace Steering {

bool FlowRecord::wasAttemptedAt(BackendServerNumber number) const
{
    return std::find(attemptedServers.begin(), attemptedServers.begin() + attemptCount, number)
        != attemptedServers.begin() + attemptCount;
}

FlowRecord* FlowTable::find(const Packet::FlowKey& flow)
{
    const auto found = records_.find(flow);
    return found != records_.end() ? &found->second : nullptr;
}

FlowRecord* FlowTable::add(Base::TimePoint now, const Packet::FlowKey& flow)
{
    // Checks of erased records stay queued until they are due, so that the queue needs a limit of its own.
    if (records_.size() >= options_.maximumFlows || checks_.size() >= 2 * options_.maximumFlows)
        return nullptr;
    auto& record = records_[flow];
    record = {};
    record.firstSeen = now;
    record.lastSeen = now;
    checks_.push_back({ .flow = flow, .dueAt = now + options_.checkInterval });
    return &record;
}

void FlowTable::erase(const Packet::FlowKey& flow) { records_.erase(flow); }

void FlowTable::runDueChecks(Base::TimePoint now, const std::function<bool(const Packet::FlowKey&, FlowRecord&)>& keep)
{
    while (!checks_.empty() && checks_.front().dueAt <= now) {
        const auto flow = checks_.front().flow;
        checks_.pop_front();
        const auto found = records_.find(flow);
        if (found == records_.end())
            continue;
        if (keep(flow, found->second))
            checks_.push_back({ .flow = flow, .dueAt = now + options_.checkInterval });
        else
            records_.erase(found);
    }
}

}
