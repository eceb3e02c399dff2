#include <LibBase/Verify.h>
#include <LibFlowBench/NaiveDecider.h>

namespace FlowBench {

NaiveDecider::NaiveDecider(const Options& options)
    : options_(options)
{
}

Base::ErrorOr<std::unique_ptr<Flow::FlowDecider>> NaiveDecider::create(const Options& options)
{
    return std::unique_ptr<Flow::FlowDecider>(new NaiveDecider(options));
}

Base::ErrorOr<void> NaiveDecider::setConfiguration(Flow::TimePoint, Configuration::SnapshotPointer snapshot)
{
    snapshot_ = std::move(snapshot);
    targets_.clear();
    for (const auto& [name, service] : snapshot_->services) {
        LiveTargets live;
        for (const auto& server : service.backendServers) {
            live.all.push_back(server.id);
            const auto domain = snapshot_->failureDomains.at(server.failureDomain).state;
            if (server.state == Configuration::BackendServerState::Active && server.weight > 0
                && domain == Configuration::FailureDomainState::In)
                live.targets.push_back({ .id = server.id, .connections = server.connections });
        }
        for (const auto address : service.addresses)
            targets_[address] = live;
    }
    return {};
}

void NaiveDecider::handlePacket(Flow::TimePoint, const Flow::PacketEvent& event, Flow::Actions& actions)
{
    if (event.packet.direction == Packet::Direction::ToCaller) {
        if (event.packet.flags.fin || event.packet.flags.rst)
            recordConnectionEnd(event);
        actions.emplace_back(Flow::ForwardToCaller { .packet = event.token });
        return;
    }
    const auto found = targets_.find(event.packet.key.service.address);
    if (found == targets_.end()) {
        actions.emplace_back(Flow::DropPacket { .packet = event.token, .reason = Flow::DropReason::UnknownAddress });
        return;
    }
    forward(event, found->second, actions);
}

void NaiveDecider::recordConnectionEnd(const Flow::PacketEvent& event)
{
    auto& open = connections_[event.backendServer];
    if (open > 0)
        --open;
}

void NaiveDecider::forward(const Flow::PacketEvent& event, const LiveTargets& live, Flow::Actions& actions)
{
    std::vector<Target> usable;
    for (const auto& target : live.targets) {
        const auto healthy = healthy_.find(target.id);
        if (healthy == healthy_.end() || healthy->second)
            usable.push_back(target);
    }
    if (usable.empty()) {
        actions.emplace_back(Flow::RefuseToCaller { .packet = event.token,
            .reason = Flow::RefusalReason::NoBackendServer,
            .truth = Flow::ExecutionStatus::NotRun });
        return;
    }
    const auto& target = usable[event.packet.key.hash() % usable.size()];
    if (event.packet.flags.syn) {
        if (connections_[target.id] >= target.connections) {
            actions.emplace_back(Flow::RefuseToCaller {
                .packet = event.token, .reason = Flow::RefusalReason::NoRoom, .truth = Flow::ExecutionStatus::NotRun });
            return;
        }
        ++connections_[target.id];
    }
    actions.emplace_back(Flow::ForwardToBackendServer { .packet = event.token, .backendServer = target.id });
}

Base::ErrorOr<void> NaiveDecider::handlePeerMessage(
    Flow::TimePoint, Flow::EntryVmId, std::span<const std::byte>, Flow::Actions&)
{
    return {};
}

Base::ErrorOr<void> NaiveDecider::handleReport(Flow::TimePoint, const Flow::BackendServerReport& report)
{
    healthy_[report.backendServer] = report.healthy;
    return {};
}

std::vector<Flow::BackendServerId> NaiveDecider::backendServersToProbe() const
{
    std::vector<Flow::BackendServerId> ids;
    if (!snapshot_)
        return ids;
    for (const auto& [name, service] : snapshot_->services) {
        for (const auto& server : service.backendServers)
            ids.push_back(server.id);
    }
    return ids;
}

const Flow::FlowStatistics& NaiveDecider::statistics() const { VERIFY_NOT_REACHED(); }

}
