// The part of Bench that delivers packets, control messages and load reports.

#include <LibFlowBench/Bench.h>
#include <algorithm>

namespace FlowBench {

void Bench::enableTrace(std::size_t balancer, BalancerHost::Outputs& outputs)
{
    if (!options_.trace || !options_.tracedFlow)
        return;
    outputs.trace = [this, balancer](const std::string& text, const WirePacket& packet) {
        if (packet.flow != *options_.tracedFlow)
            return;
        const auto at = std::chrono::duration_cast<Base::microseconds>(loop_.now().time_since_epoch()).count();
        options_.trace(
            std::to_string(at - 1'000'000'000) + " us balancer " + std::to_string(balancer + 1) + " " + text);
    };
}

void Bench::sendThroughFabric(Network::Place from, const WirePacket& packet)
{
    std::vector<std::size_t> live;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (inFabric_[i])
            live.push_back(i);
    }
    if (live.empty())
        return;
    const auto balancer = live[random_.below(live.size())];
    network_.sendPacket(from, hosts_[balancer]->place(),
        [this, balancer, packet] { hosts_[balancer]->handlePacket(packet, Flow::Arrival::Fabric, {}, {}); });
}

void Bench::forwardToBackendServer(std::size_t balancer, const WirePacket& packet, Base::BackendServerId id)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    auto& fake = *found->second;
    auto sent = packet;
    sent.isFromRecentlyResumedBalancer = hosts_[balancer]->wasResumedRecently();
    network_.sendPacket(hosts_[balancer]->place(), fake.options().domain, [&fake, sent] { fake.handlePacket(sent); });
}

void Bench::forwardToPeer(
    std::size_t balancer, const WirePacket& packet, Base::EntryVmId peer, const Flow::HandOver& handOver)
{
    const auto receiver = indexOf(peer);
    if (receiver == hosts_.size())
        return;
    network_.sendPacket(hosts_[balancer]->place(), hosts_[receiver]->place(),
        [=, this] { hosts_[receiver]->handlePacket(packet, Flow::Arrival::Peer, idOf(balancer), handOver); });
}

void Bench::sendMessage(std::size_t balancer, Base::EntryVmId peer, const std::vector<std::byte>& message)
{
    const auto receiver = indexOf(peer);
    if (receiver == hosts_.size())
        return;
    network_.sendControl(hosts_[balancer]->place(), hosts_[receiver]->place(),
        [=, this] { hosts_[receiver]->handleMessage(idOf(balancer), message); });
}

void Bench::scheduleReports()
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        loop_.every(options_.reportInterval, [this, i] {
            if (hosts_[i]->isRunning())
                deliverReports(i);
            return true;
        });
    }
}

void Bench::deliverReports(std::size_t balancer)
{
    for (const auto id : hosts_[balancer]->decider().backendServersToProbe()) {
        const auto found = servers_.find(id);
        if (found == servers_.end())
            continue;
        auto report = found->second->report();
        if (network_.isCut(found->second->options().domain, hosts_[balancer]->place()))
            report.healthy = false;
        loop_.after(options_.reportDelay, [this, balancer, report] { hosts_[balancer]->handleReport(report); });
    }
}

bool Bench::hasRoom(const ClassInfo& info) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        return entry.second->options().service == info.service && entry.second->hasRoom(info.portClass.slotUse);
    });
}

std::vector<FakeBackendServer*> Bench::serversOf(const std::string& service)
{
    std::vector<FakeBackendServer*> servers;
    const auto id = options_.deployment.snapshot.services.at(service).id;
    for (const auto& [serverId, fake] : servers_) {
        if (fake->options().service == id)
            servers.push_back(fake.get());
    }
    return servers;
}

std::vector<Base::BackendServerId> Bench::serverIds() const
{
    std::vector<Base::BackendServerId> ids;
    for (const auto& [id, fake] : servers_)
        ids.push_back(id);
    return ids;
}

}
