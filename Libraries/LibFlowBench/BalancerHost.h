#pragma once

#include <LibFlow/FlowDecider.h>
#include <LibFlowBench/EventLoop.h>
#include <LibFlowBench/Network.h>
#include <LibFlowBench/Oracle.h>
#include <LibFlowBench/WirePacket.h>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace FlowBench {

using DeciderFactory
    = std::function<Base::ErrorOr<std::unique_ptr<Flow::FlowDecider>>(const Flow::FlowDecider::Options&)>;

/// Runs one flow decider as the daemon does: owns the packet buffers, executes actions, and counts violations of the
/// decider's interface, such as a packet without a final action.
class BalancerHost {
public:
    /// Receivers of the packets and messages that the host sends.
    struct Outputs {
        std::function<void(const WirePacket&, Base::BackendServerId)> toBackendServer;
        std::function<void(const WirePacket&)> toCaller;
        std::function<void(const WirePacket&, Base::EntryVmId, const Flow::HandOver&)> toPeer;
        std::function<void(Base::EntryVmId, const std::vector<std::byte>&)> message;
        /// Optional; called for each arriving packet and each action on a packet.
        std::function<void(const std::string&, const WirePacket&)> trace;
    };

    BalancerHost(EventLoop&, Oracle&, Network::Place, Outputs);

    /// Starts a new process with the given options and discards the old state. Returns false if the decider cannot be
    /// created with these options.
    bool start(const DeciderFactory&, const Flow::FlowDecider::Options&);
    /// Ends the process without a notice to peers.
    void kill();
    /// Suspends the process until resume() and keeps its state. Packets are queued meanwhile, up to a limit;
    /// control messages, configurations and reports are lost.
    void pause() { isPaused_ = true; }
    void resume();
    void beginLeaving();

    bool isUp() const { return decider_ != nullptr; }
    bool isPaused() const { return isPaused_; }
    bool isRunning() const { return isUp() && !isPaused_; }
    /// Whether the process was resumed so recently that it may not have received the latest configuration.
    bool wasResumedRecently() const;
    bool isLeaving() const { return isLeaving_; }
    bool hasLeft() const { return isUp() && decider_->hasLeft(); }
    Network::Place place() const { return place_; }
    const Flow::FlowDecider::Options& options() const { return options_; }
    Flow::FlowDecider& decider() { return *decider_; }

    void handlePacket(const WirePacket&, Flow::Arrival, Base::EntryVmId sender, const Flow::HandOver&);
    void handleMessage(Base::EntryVmId sender, const std::vector<std::byte>&);
    void setConfiguration(const Configuration::SnapshotPointer&);
    void setPeers(const Flow::PeerView&);
    void handleReport(const Flow::BackendServerReport&);

    /// Bytes of control messages sent, one entry for each second since the host was created.
    const std::vector<uint64_t>& controlBytes() const { return controlBytes_; }
    /// Number of calls for which the decider returned an error.
    uint64_t errors() const { return errors_; }

private:
    enum class Buffer : uint8_t {
        Free,
        Deciding,
        Held,
        Copied,
    };
    struct Slot {
        WirePacket packet;
        Buffer state { Buffer::Free };
    };

    bool tick(uint64_t incarnation);
    Flow::PacketToken storePacket(const WirePacket&);
    void decidePacket(const Flow::PacketEvent&);
    void executeActions();
    void executeActions(const Flow::Action&);
    /// Returns the packet of a token in a final action and frees its buffer, unless the decider has kept a copy.
    WirePacket consumePacket(Flow::PacketToken);
    void release(Flow::PacketToken);
    void traceArrival(const WirePacket&, Flow::Arrival, const Flow::HandOver&);
    void traceAction(const Flow::Action&);
    void recordControlBytes(std::size_t);
    void callDecider(const std::function<Base::ErrorOr<void>()>&);

    EventLoop& loop_;
    Oracle& oracle_;
    Network::Place place_;
    Outputs outputs_;
    Flow::FlowDecider::Options options_;
    std::unique_ptr<Flow::FlowDecider> decider_;
    bool isPaused_ { false };
    std::optional<Base::TimePoint> resumedAt_;
    bool isLeaving_ { false };
    uint64_t startCount_ { 0 };
    std::deque<EventLoop::Callback> backlog_;
    std::vector<Slot> slots_;
    std::vector<Flow::PacketToken> freeSlots_;
    Flow::Actions actions_;
    Base::TimePoint createdAt_;
    std::vector<uint64_t> controlBytes_;
    uint64_t errors_ { 0 };
};

}
