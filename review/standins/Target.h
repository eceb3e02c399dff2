#pragma once

// A target: registers in the store, takes flows as datagrams with its number in front, runs requests in two slots and
// answers the client directly.

#include "Store.h"
#include "World.h"
#include <deque>
#include <set>

namespace Review {

class Target {
public:
    struct Options {
        std::string service;
        std::string zone;
        uint32_t address { 0 };
        Ms workTime { 15 };
        /// How long it is cold after a start during traffic.
        Ms warmUp { 0 };
    };
    /// A flow that a target took: its opening packet's way, for rules that count opening packets.
    struct Opening {
        Clock::time_point sentAt;
        Clock::time_point arrivedAt;
    };

    Target(World& world, Store& store, uint64_t number, Options options)
        : world_(world)
        , store_(store)
        , number_(number)
        , options_(std::move(options))
        , endpoint_ { .address = options_.address, .port = findFreePort({ options_.address }) }
    {
        world_.loop.every(heartbeat, [this] { report(); });
        start(false);
    }

    std::string id() const
    {
        constexpr const char* digits = "0123456789abcdef";
        std::string text = "i-";
        for (int shift = 28; shift >= 0; shift -= 4)
            text += digits[(number_ >> shift) & 15];
        return text;
    }
    const Options& options() const { return options_; }
    const Endpoint& endpoint() const { return endpoint_; }
    bool isAlive() const { return isAlive_; }
    Clock::time_point coldUntil() const { return coldUntil_; }
    const std::vector<Opening>& openingsWhileCold() const { return openingsWhileCold_; }
    uint64_t startedAtMilliseconds() const { return born_; }
    /// Called for each SYN+ACK; if it returns true, this datagram is lost on its way.
    void setLossOfSynAck(std::function<bool(const Endpoint& client)> isLost) { isLost_ = std::move(isLost); }

    /// The process ends without a word: its flows and requests are gone.
    void crash()
    {
        world_.write("target " + id() + " crashes");
        isAlive_ = false;
        flows_.clear();
        queue_.clear();
        busy_ = 0;
        ++incarnation_;
        std::erase_if(world_.openAt, [&](const auto& entry) { return entry.second == endpoint_; });
        for (const int socket : { socket_, listener_ }) {
            world_.loop.unwatch(socket);
            ::close(socket);
        }
    }
    /// The process starts again under the same id and at the same address. It holds and knows nothing of before.
    void restart() { start(true); }

private:
    static constexpr Ms heartbeat { 1200 };
    static constexpr unsigned slots = 2;
    static constexpr std::size_t queueLimit = 8;

    struct Flow {
        Endpoint route;
        uint32_t clientSequence { 0 };
        uint32_t sequence { 0 };
        uint32_t echo { 0 };
        bool isOpen { false };
        bool isEnded { false };
        Opening opening;
        /// Sequence number after the last request taken.
        uint32_t requestEnd { 0 };
        bool isWorking { false };
        std::string answer;
        uint32_t answerSequence { 0 };
    };

    void start(bool duringTraffic)
    {
        isAlive_ = true;
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        born_ = static_cast<uint64_t>(std::chrono::duration_cast<Ms>(sinceEpoch).count());
        coldUntil_ = Clock::now() + (duringTraffic ? options_.warmUp : Ms(0));
        socket_ = bindSocket(SOCK_DGRAM, endpoint_);
        listener_ = bindSocket(SOCK_STREAM, endpoint_);
        if (socket_ < 0 || listener_ < 0)
            throw std::runtime_error("a target's port is taken");
        ::listen(listener_, 64);
        world_.loop.watch(socket_, [this] { receive(); });
        world_.loop.watch(listener_, [this] { answerHealthCheck(); });
        lastEntry_.clear();
        world_.write("target " + id() + " of " + options_.service + " starts at " + endpoint_.text());
        report();
    }

    /// A heartbeat: writes the entry if it differs from the last one by more than its sequence.
    void report()
    {
        if (!isAlive_ || store_.isDown())
            return;
        const auto left = std::chrono::duration_cast<Ms>(coldUntil_ - Clock::now()).count();
        const Store::Json entry { { "service", options_.service }, { "address", endpoint_.text() },
            { "zone", options_.zone }, { "version", "v1" }, { "concurrency", slots }, { "state", "ready" },
            { "warmup_left_ms", std::max<int64_t>(0, left) }, { "sequence", 1 }, { "born", born_ } };
        if (entry.dump() == lastEntry_)
            return;
        lastEntry_ = entry.dump();
        store_.put("servers/" + id(), entry);
        world_.write("target " + id() + " reports " + lastEntry_);
    }

    void answerHealthCheck()
    {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0)
            ::close(socket);
    }

    void receive()
    {
        std::string bytes;
        Endpoint sender;
        while (isAlive_ && receiveDatagram(socket_, bytes, sender)) {
            if (bytes.size() < 8)
                continue;
            const auto number = (static_cast<uint64_t>(getNumber(bytes, 0, 4)) << 32) | getNumber(bytes, 4, 4);
            Packet packet;
            if ((number != 0 && number != number_) || !readPacket(bytes.substr(8), packet))
                continue;
            if (!packet.isSumValid) {
                world_.count("packets that their sender did not write so");
                continue;
            }
            if (packet.isSyn)
                handleSyn(packet);
            else
                handlePacket(packet);
        }
    }

    void send(const Packet& packet)
    {
        sendDatagram(socket_, writePacket(packet), { .address = packet.to.address, .port = world_.dataPort });
    }

    void handleSyn(const Packet& packet)
    {
        if (packet.isAck)
            return;
        auto& flow = flows_[packet.from];
        const bool isCopy = flow.sequence != 0 && flow.clientSequence == packet.sequence;
        if (isCopy)
            return;
        flow = { .route = packet.to,
            .clientSequence = packet.sequence,
            .sequence = static_cast<uint32_t>(world_.random()) | 1U,
            .echo = packet.echo,
            .opening = { world_.openedAt[packet.from], Clock::now() } };
        sendSynAck(packet.from, flow.sequence, 0);
    }

    void sendSynAck(const Endpoint& client, uint32_t sequence, int retransmissions)
    {
        constexpr int maximumRetransmissions = 8;
        const auto found = flows_.find(client);
        if (found == flows_.end() || found->second.sequence != sequence || found->second.isOpen)
            return;
        auto& flow = found->second;
        if (retransmissions > maximumRetransmissions) {
            flows_.erase(client);
            return;
        }
        const bool isLost = retransmissions == 0 && isLost_ && isLost_(client);
        if (isLost)
            world_.write("the SYN+ACK of target " + id() + " to " + client.text() + " is lost");
        else
            send({ .from = flow.route,
                .to = client,
                .sequence = sequence,
                .acknowledged = flow.clientSequence + 1,
                .echo = flow.echo,
                .isSyn = true,
                .isAck = true });
        const Ms interval = std::min(Ms(1600), Ms(200) * (1 << std::min(retransmissions, 3)));
        world_.loop.after(interval, [this, incarnation = incarnation_, client, sequence, retransmissions] {
            if (incarnation == incarnation_)
                sendSynAck(client, sequence, retransmissions + 1);
        });
    }

    void handlePacket(const Packet& packet)
    {
        const auto found = flows_.find(packet.from);
        const bool isHeld
            = found != flows_.end() && (found->second.isOpen || packet.acknowledged == found->second.sequence + 1);
        if (!isHeld) {
            if (packet.isReset)
                return;
            world_.write("target " + id() + " resets " + packet.from.text() + ", a flow that it does not hold");
            send({ .from = packet.to, .to = packet.from, .sequence = packet.acknowledged, .isReset = true });
            return;
        }
        auto& flow = found->second;
        flow.echo = packet.echo;
        if (!flow.isOpen)
            open(packet.from, flow);
        if (packet.isReset) {
            world_.openAt.erase(packet.from);
            flows_.erase(packet.from);
        } else if (flow.isEnded || packet.isFin) {
            end(packet, flow);
        } else if (!packet.data.empty()) {
            takeRequest(packet, flow);
        }
    }

    void open(const Endpoint& client, Flow& flow)
    {
        flow.isOpen = true;
        flow.requestEnd = flow.clientSequence + 1;
        flow.answerSequence = flow.sequence + 1;
        world_.openAt[client] = endpoint_;
        if (flow.opening.arrivedAt < coldUntil_)
            openingsWhileCold_.push_back(flow.opening);
    }

    void end(const Packet& packet, Flow& flow)
    {
        const bool isReset = flow.isEnded && !packet.data.empty();
        flow.isEnded = true;
        world_.openAt.erase(packet.from);
        if (isReset)
            send({ .from = packet.to, .to = packet.from, .sequence = packet.acknowledged, .isReset = true });
        else
            send({ .from = packet.to,
                .to = packet.from,
                .sequence = flow.answerSequence,
                .acknowledged = packet.sequence + 1,
                .echo = flow.echo,
                .isAck = true,
                .isFin = true });
    }

    void takeRequest(const Packet& packet, Flow& flow)
    {
        const auto requestEnd = packet.sequence + static_cast<uint32_t>(packet.data.size());
        if (requestEnd == flow.requestEnd) {
            if (!flow.isWorking && !flow.answer.empty())
                sendAnswer(packet.from, flow);
            return;
        }
        if (packet.sequence != flow.requestEnd || flow.isWorking)
            return;
        flow.requestEnd = requestEnd;
        flow.answerSequence += static_cast<uint32_t>(flow.answer.size());
        flow.answer.clear();
        flow.isWorking = true;
        if (busy_ >= slots && queue_.size() >= queueLimit) {
            finish(packet.from, "503 " + packet.data);
            return;
        }
        if (flow.route == world_.droppedRoute && flow.opening.sentAt > world_.droppedRouteEndsAt) {
            world_.write("CONFIG: " + packet.data + " runs on a route that was dropped longer ago than allowed");
            world_.count("CONFIG broken");
        }
        queue_.emplace_back(packet.from, packet.data);
        startWork();
    }

    void startWork()
    {
        if (busy_ >= slots || queue_.empty())
            return;
        const auto [client, request] = queue_.front();
        queue_.pop_front();
        ++busy_;
        world_.write("target " + id() + " runs " + request);
        world_.count("runs " + request);
        world_.loop.after(options_.workTime, [this, incarnation = incarnation_, client = client, request = request] {
            if (incarnation != incarnation_)
                return;
            --busy_;
            finish(client, "200 " + request);
            startWork();
        });
    }

    void finish(const Endpoint& client, const std::string& answer)
    {
        const auto found = flows_.find(client);
        if (found == flows_.end())
            return;
        found->second.isWorking = false;
        found->second.answer = answer;
        sendAnswer(client, found->second);
    }

    void sendAnswer(const Endpoint& client, const Flow& flow)
    {
        send({ .from = flow.route,
            .to = client,
            .sequence = flow.answerSequence,
            .acknowledged = flow.requestEnd,
            .echo = flow.echo,
            .isAck = true,
            .data = flow.answer });
    }

    World& world_;
    Store& store_;
    uint64_t number_;
    Options options_;
    Endpoint endpoint_;
    int socket_ { -1 };
    int listener_ { -1 };
    bool isAlive_ { false };
    uint64_t born_ { 0 };
    uint64_t incarnation_ { 0 };
    Clock::time_point coldUntil_;
    std::string lastEntry_;
    std::map<Endpoint, Flow> flows_;
    std::deque<std::pair<Endpoint, std::string>> queue_;
    unsigned busy_ { 0 };
    std::vector<Opening> openingsWhileCold_;
    std::function<bool(const Endpoint&)> isLost_;
};

}
