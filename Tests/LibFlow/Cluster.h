#pragma once

/// Deciders connected by a lossless, instantaneous network in virtual time, and the outcomes of the packets.

#include <LibBase/Error.h>
#include <LibFlow/FlowDecider.h>
#include <LibFlow/Process/FlowStatistics.h>
#include <deque>
#include <map>
#include <vector>

namespace FlowTest {

using namespace Flow;

/// Makes a configuration with one service "rota" at 10.0.0.1: port 80 (view, TCP, idempotent), 81 (claim, UDP, not
/// idempotent), 82 (file, TCP, one slot per flow), and backend servers 1 to `servers` in failure domain "brum".
std::shared_ptr<Configuration::Snapshot> makeSnapshot(uint32_t servers, uint64_t revision = 1);

/// Outcome of one packet.
struct PacketResult {
    enum class Kind { None, Forwarded, Refused, Dropped, Held, ToCaller };
    Kind kind { Kind::None };
    BackendServerId server;
    RefusalReason refusal {};
    ExecutionStatus truth {};
    DropReason drop {};
};

class Cluster {
public:
    explicit Cluster(std::size_t balancers, std::shared_ptr<Configuration::Snapshot>);

    FlowDecider& at(std::size_t i) { return *nodes_.at(i).decider; }
    EntryVmId id(std::size_t i) const { return nodes_.at(i).id; }
    TimePoint now() const { return now_; }
    /// Advances the time in ticks of 10 ms and delivers control messages.
    void run(Base::milliseconds);
    /// Applies the configuration to every live balancer, or to one.
    void configure(std::shared_ptr<Configuration::Snapshot>);
    void configure(std::size_t i, std::shared_ptr<Configuration::Snapshot>);
    /// Removes a balancer and updates the peer view of the others.
    void kill(std::size_t i);
    /// Makes a balancer leave.
    void leave(std::size_t i);
    /// Restarts a balancer without state under its old id, with a new incarnation.
    void restart(std::size_t i);
    /// Sends the list of live balancers to each of them.
    void publishPeers();
    /// Sends one packet from the caller port to a balancer and returns its outcome.
    PacketResult send(
        std::size_t balancer, uint16_t callerPort, uint16_t servicePort, Packet::TcpFlags, uint16_t payload = 0);
    PacketResult syn(std::size_t balancer, uint16_t callerPort, uint16_t servicePort = 80)
    {
        return send(balancer, callerPort, servicePort, { .syn = true });
    }
    /// Sends one packet from a backend server through a balancer and returns its outcome.
    PacketResult respond(std::size_t balancer, BackendServerId, uint16_t callerPort, uint16_t servicePort,
        Packet::TcpFlags, uint16_t payload = 0);
    /// Opens a TCP flow: SYN, SYN-ACK, ACK. Returns the outcome of the SYN.
    PacketResult open(std::size_t balancer, uint16_t callerPort, uint16_t servicePort = 80);
    /// Returns the current outcome of a packet, which may have been held at first.
    PacketResult result(PacketToken token) { return results_[token]; }
    PacketToken lastToken() const { return token_; }
    /// Returns the number of flows of a backend server over all live balancers.
    uint32_t connections(BackendServerId);
    uint64_t controlBytes(std::size_t i) const { return nodes_.at(i).controlBytes; }
    /// Sets whether packets and messages between this balancer and the others are lost.
    void isolate(std::size_t i, bool isIsolated) { nodes_.at(i).isIsolated = isIsolated; }

private:
    struct Node {
        EntryVmId id;
        std::unique_ptr<FlowDecider> decider;
        uint64_t incarnation { 1 };
        uint64_t controlBytes { 0 };
        bool isLive { true };
        bool isIsolated { false };
    };
    struct Message {
        std::size_t from { 0 };
        EntryVmId to;
        std::vector<std::byte> bytes;
    };

    std::size_t indexOf(EntryVmId) const;
    void start(Node&);
    PacketResult deliver(std::size_t balancer, PacketEvent);
    void applyActions(std::size_t balancer, const PacketEvent*, const Actions&);
    void deliverMessages();

    std::vector<Node> nodes_;
    std::shared_ptr<Configuration::Snapshot> snapshot_;
    TimePoint now_ { Base::seconds { 1000 } };
    PacketToken token_ { 0 };
    uint64_t viewVersion_ { 0 };
    std::deque<Message> messages_;
    std::map<PacketToken, PacketResult> results_;
    std::map<PacketToken, PacketEvent> events_;
};

}
