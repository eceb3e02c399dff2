#pragma once

// A client machine: opens flows for single requests or for many with pauses between them, and hands its packets to the
// machines that the platform's routers select.

#include "Node.h"
#include <memory>
#include <set>

namespace Review {

class Client {
public:
    struct Options {
        uint32_t address { 0 };
        std::string zone;
        std::vector<Endpoint> routes;
        /// New flows of a single request a second.
        double freshPerSecond { 0 };
        /// A machine to which all packets are sent directly; empty: the routers select one.
        std::string onlyMachine {};
    };

    Client(World& world, const std::vector<std::unique_ptr<Node>>& nodes, Options options)
        : world_(world)
        , nodes_(nodes)
        , options_(std::move(options))
        , socket_(bindSocket(SOCK_DGRAM, { .address = options_.address, .port = world_.dataPort }))
    {
        if (socket_ < 0)
            throw std::runtime_error("the data port is taken at a client's address");
        world_.loop.watch(socket_, [this] { receive(); });
    }

    void startFreshFlows()
    {
        if (isStopped_ || options_.freshPerSecond <= 0)
            return;
        open(options_.routes[world_.random() % options_.routes.size()], {});
        const auto mean = 1000.0 / options_.freshPerSecond;
        const auto wait = std::exponential_distribution<double>(1.0 / mean)(world_.random);
        world_.loop.after(Ms(static_cast<int64_t>(wait) + 1), [this] { startFreshFlows(); });
    }
    void stop() { isStopped_ = true; }

    /// Opens a flow for a number of unsafe requests with pauses between them. Returns the client's end of it.
    Endpoint openLongFlow(const Endpoint& route, int requests, Ms pause)
    {
        return open(route, { .requests = requests, .pause = pause, .isSafe = false });
    }

private:
    static constexpr Ms deadline { 1500 };

    /// What a flow is opened for.
    struct Work {
        int requests { 1 };
        Ms pause { 0 };
        bool isSafe { true };
        int tries { 0 };
    };

    Endpoint open(const Endpoint& route, const Work& work)
    {
        const Endpoint self { .address = options_.address, .port = ++lastPort_ };
        auto& flow = flows_[self.port];
        flow = { .route = route, .work = work, .sequence = static_cast<uint32_t>(world_.random()) };
        world_.openedAt[self] = Clock::now();
        sendSyn(self.port, flow.sequence, 0);
        return self;
    }

    enum class State : uint8_t {
        SynSent,
        Open,
        Closed,
    };
    struct Flow {
        Endpoint route;
        Work work;
        State state { State::SynSent };
        uint32_t sequence { 0 };
        uint32_t nextServerSequence { 0 };
        /// The last echo that was received on the flow.
        uint32_t echo { 0 };
        std::string request;
        bool isWaiting { false };
    };

    Packet packetOf(uint16_t port, const Flow& flow) const
    {
        return { .from = { options_.address, port },
            .to = flow.route,
            .sequence = flow.sequence,
            .acknowledged = flow.nextServerSequence,
            .echo = flow.echo,
            .isAck = flow.state != State::SynSent };
    }

    /// The routers: a hash of the addresses and ports over the machines of the zone that are in rotation; over all of
    /// the zone's if fewer than half are; over other zones' if none is.
    const Node* route(const Packet& packet) const
    {
        std::vector<const Node*> zone;
        std::vector<const Node*> zoneInRotation;
        std::vector<const Node*> others;
        for (const auto& node : nodes_) {
            if (node->options().name == options_.onlyMachine)
                return node.get();
            if (node->options().zone == options_.zone) {
                zone.push_back(node.get());
                if (node->isInRotation())
                    zoneInRotation.push_back(node.get());
            } else if (node->isInRotation()) {
                others.push_back(node.get());
            }
        }
        const auto& chosenFrom = zoneInRotation.empty() && !others.empty() ? others
            : zoneInRotation.size() * 2 < zone.size()                      ? zone
                                                                           : zoneInRotation;
        const Node* best = nullptr;
        uint64_t bestRank = 0;
        for (const auto* node : chosenFrom) {
            const auto text = packet.from.text() + packet.to.text() + node->options().name;
            uint64_t rank = 14695981039346656037ULL;
            for (const char letter : text)
                rank = (rank ^ static_cast<uint8_t>(letter)) * 1099511628211ULL;
            rank ^= rank >> 29;
            if (best == nullptr || rank > bestRank) {
                best = node;
                bestRank = rank;
            }
        }
        return best;
    }

    const Node* send(const Packet& packet)
    {
        const auto* node = route(packet);
        if (node != nullptr)
            sendDatagram(socket_, writePacket(packet), node->data());
        return node;
    }

    void sendSyn(uint16_t port, uint32_t sequence, uint32_t copies)
    {
        const auto found = flows_.find(port);
        if (found == flows_.end() || found->second.state != State::SynSent || found->second.sequence != sequence)
            return;
        if (copies == 3) {
            fail(port, "no SYN+ACK");
            return;
        }
        auto packet = packetOf(port, found->second);
        packet.isSyn = true;
        packet.acknowledged = copies;
        packet.echo = 0;
        send(packet);
        const Ms next = copies == 0 ? Ms(200) : copies == 1 ? Ms(400) : Ms(800);
        world_.loop.after(next, [this, port, sequence, copies] { sendSyn(port, sequence, copies + 1); });
    }

    void startRequest(uint16_t port, Flow& flow)
    {
        const auto id = "q" + std::to_string(++lastRequest_) + "-" + std::to_string(options_.address & 255);
        flow.request = std::string(flow.work.isSafe ? "GET" : "POST") + " /shift HTTP/1.1 X-Request-Id: " + id;
        flow.isWaiting = true;
        world_.count("requests sent");
        transmitRequest(port, flow.request, Ms(200));
        world_.loop.after(deadline, [this, port, request = flow.request] {
            const auto found = flows_.find(port);
            if (found != flows_.end() && found->second.isWaiting && found->second.request == request)
                fail(port, "deadline");
        });
    }

    void transmitRequest(uint16_t port, const std::string& request, Ms interval)
    {
        const auto found = flows_.find(port);
        if (found == flows_.end() || !found->second.isWaiting || found->second.request != request)
            return;
        auto packet = packetOf(port, found->second);
        packet.data = request;
        const auto* node = send(packet);
        if (node != nullptr)
            world_.write("client " + packet.from.text() + " sends " + request + " to " + node->options().name
                + " with echo " + std::to_string(packet.echo));
        world_.loop.after(interval,
            [this, port, request, interval] { transmitRequest(port, request, std::min(Ms(1600), interval * 2)); });
    }

    void receive()
    {
        std::string bytes;
        Endpoint sender;
        while (receiveDatagram(socket_, bytes, sender)) {
            Packet packet;
            if (!readPacket(bytes, packet))
                continue;
            const auto found = flows_.find(packet.to.port);
            if (found == flows_.end() || found->second.route != packet.from)
                continue;
            if (packet.isReset && (packet.hasZeroSum || packet.isSumValid))
                handleReset(packet, found->second, sender);
            else if (packet.isSumValid)
                handlePacket(packet, found->second);
            else
                world_.count("packets that their sender did not write so");
        }
    }

    void handleReset(const Packet& packet, Flow& flow, const Endpoint& sender)
    {
        constexpr uint32_t window = 76'800;
        const auto distance
            = std::min(packet.sequence - flow.nextServerSequence, flow.nextServerSequence - packet.sequence);
        if (flow.state == State::Closed || (flow.state == State::Open && distance > window))
            return;
        const auto opened = world_.openAt.find(packet.to);
        const std::string origin = packet.hasZeroSum ? "the system" : "target at " + sender.text();
        world_.write("client " + packet.to.text() + " gets a reset from " + origin);
        if (opened != world_.openAt.end() && (packet.hasZeroSum || opened->second != sender)) {
            world_.write("FLOW: " + packet.to.text() + " is open at the target at " + opened->second.text()
                + ", which lives and sent no reset; the reset came from " + origin);
            world_.count("FLOW broken");
        }
        fail(packet.to.port, "reset");
    }

    void handlePacket(const Packet& packet, Flow& flow)
    {
        flow.echo = packet.echo;
        if (packet.isSyn) {
            if (flow.state != State::SynSent || packet.acknowledged != flow.sequence + 1)
                return;
            flow.state = State::Open;
            ++flow.sequence;
            flow.nextServerSequence = packet.sequence + 1;
            startRequest(packet.to.port, flow);
            return;
        }
        if (!flow.isWaiting || packet.data.empty() || packet.sequence != flow.nextServerSequence)
            return;
        finishRequest(packet, flow);
    }

    void finishRequest(const Packet& packet, Flow& flow)
    {
        const auto port = packet.to.port;
        flow.sequence += static_cast<uint32_t>(flow.request.size());
        flow.nextServerSequence += static_cast<uint32_t>(packet.data.size());
        flow.isWaiting = false;
        const bool isOwn = packet.data == "200 " + flow.request || packet.data == "503 " + flow.request;
        world_.count(!isOwn ? "answers to another request" : packet.data.starts_with("200") ? "answers" : "refusals");
        world_.write("client " + packet.to.text() + " gets " + packet.data);
        auto reply = packetOf(port, flow);
        if (--flow.work.requests > 0) {
            send(reply);
            world_.loop.after(flow.work.pause, [this, port] {
                const auto found = flows_.find(port);
                if (found != flows_.end() && found->second.state == State::Open && !found->second.isWaiting)
                    startRequest(port, found->second);
            });
            return;
        }
        reply.isFin = true;
        world_.openAt.erase(packet.to);
        send(reply);
        flow.state = State::Closed;
        world_.loop.after(Ms(500), [this, port] { flows_.erase(port); });
    }

    /// Ends an attempt. Safe requests are tried again on a new flow, twice at most; unsafe ones only if the flow never
    /// opened.
    void fail(uint16_t port, const std::string& reason)
    {
        constexpr int maximumRetries = 2;
        const auto flow = flows_.at(port);
        const auto text = Endpoint { options_.address, port }.text();
        world_.openAt.erase({ options_.address, port });
        flows_.erase(port);
        world_.write("client " + text + " gives up an attempt: " + reason);
        world_.count("attempts ended by " + reason);
        const bool mayRetry = flow.work.isSafe || flow.state == State::SynSent;
        if (mayRetry && flow.work.tries < maximumRetries && !isStopped_) {
            auto work = flow.work;
            ++work.tries;
            open(flow.route, work);
            return;
        }
        if (flow.isWaiting && !flow.work.isSafe) {
            const bool hasRun = world_.counts.contains("runs " + flow.request);
            world_.write(
                "LOST: " + flow.request + ", unsafe, gets no answer; it " + (hasRun ? "has" : "has not") + " run");
            world_.count("unsafe requests without an answer");
        }
        world_.count("requests not served");
    }

    World& world_;
    const std::vector<std::unique_ptr<Node>>& nodes_;
    Options options_;
    int socket_;
    uint16_t lastPort_ { 20000 };
    uint64_t lastRequest_ { 0 };
    bool isStopped_ { false };
    std::map<uint16_t, Flow> flows_;
};

}
