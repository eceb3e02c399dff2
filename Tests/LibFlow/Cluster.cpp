#include <LibFlow/Cluster.h>
#include <catch2/catch.hpp>

namespace FlowTest {

using namespace std::chrono_literals;

std::shared_ptr<Configuration::Snapshot> makeSnapshot(uint32_t servers, uint64_t revision)
{
    auto snapshot = std::make_shared<Configuration::Snapshot>();
    snapshot->revision = { revision };
    Configuration::Service service { .id = { 1 }, .name = "rota", .addresses = { { 0x0A000001 } } };
    service.portClasses = {
        { .name = "view", .port = 80, .priority = 1, .idempotent = true, .slotUse = Configuration::SlotUse::None },
        { .name = "claim",
            .port = 81,
            .protocol = Configuration::Protocol::Udp,
            .weight = 2,
            .slotUse = Configuration::SlotUse::PerFlow },
        { .name = "file", .port = 82, .slotUse = Configuration::SlotUse::PerFlow },
    };
    for (uint32_t i = 1; i <= servers; ++i)
        service.backendServers.push_back(
            { .id = { i }, .name = "rota-" + std::to_string(i), .failureDomain = "brum", .warmUp = 10s });
    snapshot->services["rota"] = service;
    snapshot->failureDomains["brum"] = { .name = "brum", .region = "midlands" };
    return snapshot;
}

Cluster::Cluster(std::size_t balancers, std::shared_ptr<Configuration::Snapshot> snapshot)
    : snapshot_(std::move(snapshot))
{
    for (std::size_t i = 0; i < balancers; ++i) {
        nodes_.push_back({ .id = { 1000 + i } });
        start(nodes_.back());
    }
    publishPeers();
    run(2000ms);
}

void Cluster::start(Node& node)
{
    FlowDecider::Options options { .self = node.id, .incarnation = node.incarnation, .failureDomain = "brum" };
    node.decider = Base::capture([&] { return FlowDecider::create(options); }).value.value();
    if (snapshot_)
        REQUIRE(!Base::captureError([&] { return node.decider->setConfiguration(now_, snapshot_); }));
}

void Cluster::publishPeers()
{
    PeerView view { .version = ++viewVersion_ };
    for (const auto& node : nodes_) {
        if (node.isLive)
            view.peers.push_back({ .id = node.id, .incarnation = node.incarnation, .failureDomain = "brum" });
    }
    for (auto& node : nodes_) {
        if (node.isLive)
            REQUIRE(!Base::captureError([&] { return node.decider->setPeers(now_, view); }));
    }
}

void Cluster::run(Base::milliseconds time)
{
    for (auto end = now_ + time; now_ < end;) {
        now_ += 10ms;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!nodes_[i].isLive)
                continue;
            Actions actions;
            nodes_[i].decider->handleTick(now_, actions);
            applyActions(i, nullptr, actions);
        }
        deliverMessages();
    }
}

void Cluster::configure(std::shared_ptr<Configuration::Snapshot> snapshot)
{
    snapshot_ = std::move(snapshot);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].isLive)
            configure(i, snapshot_);
    }
}

void Cluster::configure(std::size_t i, std::shared_ptr<Configuration::Snapshot> snapshot)
{
    REQUIRE(!Base::captureError([&] { return at(i).setConfiguration(now_, snapshot); }));
}

void Cluster::kill(std::size_t i)
{
    nodes_.at(i).isLive = false;
    publishPeers();
}

void Cluster::leave(std::size_t i)
{
    Actions actions;
    at(i).beginLeaving(now_, actions);
    applyActions(i, nullptr, actions);
    deliverMessages();
}

void Cluster::restart(std::size_t i)
{
    auto& node = nodes_.at(i);
    ++node.incarnation;
    node.isLive = true;
    start(node);
    publishPeers();
}

std::size_t Cluster::indexOf(EntryVmId id) const
{
    std::size_t i = 0;
    while (nodes_.at(i).id != id)
        ++i;
    return i;
}

PacketResult Cluster::send(
    std::size_t balancer, uint16_t callerPort, uint16_t servicePort, Packet::TcpFlags flags, uint16_t payload)
{
    PacketEvent event { .token = ++token_ };
    event.packet.key = { .caller = { .address = { 0xC0000201 }, .port = callerPort },
        .service = { .address = { 0x0A000001 }, .port = servicePort },
        .protocol = servicePort == 81 ? Packet::IpProtocol::Udp : Packet::IpProtocol::Tcp };
    event.packet.flags = flags;
    event.packet.payloadLength = payload;
    return deliver(balancer, event);
}

PacketResult Cluster::respond(std::size_t balancer, BackendServerId server, uint16_t callerPort, uint16_t servicePort,
    Packet::TcpFlags flags, uint16_t payload)
{
    PacketEvent event { .token = ++token_, .backendServer = server };
    event.packet.key = { .caller = { .address = { 0xC0000201 }, .port = callerPort },
        .service = { .address = { 0x0A000001 }, .port = servicePort },
        .protocol = servicePort == 81 ? Packet::IpProtocol::Udp : Packet::IpProtocol::Tcp };
    event.packet.direction = Packet::Direction::ToCaller;
    event.packet.flags = flags;
    event.packet.payloadLength = payload;
    return deliver(balancer, event);
}

PacketResult Cluster::open(std::size_t balancer, uint16_t callerPort, uint16_t servicePort)
{
    auto result = syn(balancer, callerPort, servicePort);
    if (result.kind != PacketResult::Kind::Forwarded)
        return result;
    respond(balancer, result.server, callerPort, servicePort, { .syn = true, .ack = true });
    send(balancer, callerPort, servicePort, { .ack = true });
    return result;
}

PacketResult Cluster::deliver(std::size_t balancer, PacketEvent event)
{
    events_[event.token] = event;
    Actions actions;
    at(balancer).handlePacket(now_, event, actions);
    applyActions(balancer, &event, actions);
    deliverMessages();
    return results_[event.token];
}

void Cluster::applyActions(std::size_t balancer, const PacketEvent* /*event*/, const Actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* forward = std::get_if<ForwardToBackendServer>(&action))
            results_[forward->packet] = { .kind = PacketResult::Kind::Forwarded, .server = forward->backendServer };
        else if (const auto* toCaller = std::get_if<ForwardToCaller>(&action))
            results_[toCaller->packet] = { .kind = PacketResult::Kind::ToCaller };
        else if (const auto* drop = std::get_if<DropPacket>(&action))
            results_[drop->packet] = { .kind = PacketResult::Kind::Dropped, .drop = drop->reason };
        else if (const auto* refuse = std::get_if<RefuseToCaller>(&action))
            results_[refuse->packet]
                = { .kind = PacketResult::Kind::Refused, .refusal = refuse->reason, .truth = refuse->truth };
        else if (const auto* hold = std::get_if<HoldPacket>(&action))
            results_[hold->packet] = { .kind = PacketResult::Kind::Held };
        else if (const auto* message = std::get_if<SendToPeer>(&action)) {
            nodes_[balancer].controlBytes += message->message.size();
            messages_.push_back({ .from = balancer, .to = message->peer, .bytes = message->message });
        } else if (const auto* handOver = std::get_if<HandOverToPeer>(&action)) {
            auto next = events_.at(handOver->packet);
            next.arrival = Arrival::Peer;
            next.sender = id(balancer);
            next.handOver = handOver->header;
            auto to = indexOf(handOver->peer);
            if (!nodes_[to].isLive || nodes_[to].isIsolated || nodes_[balancer].isIsolated)
                continue;
            Actions more;
            at(to).handlePacket(now_, next, more);
            applyActions(to, &next, more);
        }
    }
}

void Cluster::deliverMessages()
{
    while (!messages_.empty()) {
        auto message = std::move(messages_.front());
        messages_.pop_front();
        auto to = indexOf(message.to);
        if (!nodes_[to].isLive || nodes_[to].isIsolated || nodes_[message.from].isIsolated)
            continue;
        Actions actions;
        auto error = Base::captureError(
            [&] { return at(to).handlePeerMessage(now_, id(message.from), message.bytes, actions); });
        REQUIRE(!error);
        applyActions(to, nullptr, actions);
    }
}

uint32_t Cluster::connections(BackendServerId server)
{
    uint32_t count = 0;
    for (auto& node : nodes_) {
        if (node.isLive)
            count += node.decider->statistics().backendServer(server).connections;
    }
    return count;
}

}
