#pragma once

/// The thread that runs the flow decisions. It pops packets from the workers' rings and inputs of the control thread,
/// and turns the decider's actions into commands for the workers and messages for the control thread.

#include <LibDataPath/PacketWorker.h>
#include <LibFlow/FlowDecider.h>
#include <unordered_map>
#include <variant>

namespace DataPath {

/// The members, as known to the control thread.
struct PeersInput {
    Flow::PeerView view;
    /// Destinations of hand-overs, by entry VM.
    std::unordered_map<Base::EntryVmId, Base::Ipv4Endpoint> dataEndpoints;
};

/// A message from the flow decisions of another balancer.
struct PeerMessageInput {
    Base::EntryVmId sender;
    std::vector<std::byte> bytes;
};

/// Starts the graceful leave of this balancer.
struct LeaveInput { };

using DecideInput
    = std::variant<LeaveInput, Configuration::SnapshotPointer, PeersInput, PeerMessageInput, Flow::BackendServerReport>;

/// Totals of the decide thread.
struct DecideCounters {
    Total packets;
    /// Actions whose packet token was not pending.
    Total invalidTokens;
    /// Packets dropped because the endpoint of their backend server or balancer is unknown.
    Total noDestination;
    /// Commands delayed because a worker's ring was full.
    Total commandsDelayed;
    /// Messages to peers dropped because the ring to the control thread was full.
    Total droppedMessages;
    /// Inputs rejected by the flow decider.
    Total rejectedInputs;
};

class DecideThread {
public:
    struct Options {
        /// Destination of packets to callers.
        Base::Ipv4Endpoint fabric;
        std::size_t inputCapacity { 4096 };
        std::size_t messageCapacity { 4096 };
        AddressTablePublisher* addresses { nullptr };
        /// Called by this thread about once a second, and once when it stops.
        std::function<void(const Flow::FlowDecider&)> onStatistics;
        /// Called by this thread for each refused flow; may be empty.
        std::function<void(const Flow::RefuseToCaller&)> onRefusal;
    };

    /// The workers must outlive run(); none can be added later.
    DecideThread(Options, std::unique_ptr<Flow::FlowDecider>, const std::vector<PacketWorker*>&);

    /// Runs the thread's loop until requestStop().
    void run();
    void requestStop();
    /// Wakes the thread after a push to one of its rings. Thread-safe.
    void wake() { wakeup_.wake(); }

    /// Queues an input. Returns false if the ring is full. Called by the control thread only.
    bool push(DecideInput);
    /// Messages to other balancers, which the control thread pops and sends.
    Base::Ring<Flow::SendToPeer>& messages() { return messages_; }

    bool hasLeft() const { return hasLeft_.load(); }
    /// Revision of the configuration in force; invalid before the first one.
    Base::Revision revision() const { return { revision_.load() }; }
    const DecideCounters& counters() const { return counters_; }

private:
    /// The state of one worker's buffers, and its commands.
    struct WorkerLink {
        PacketWorker* worker { nullptr };
        /// Indexed by buffer: whether a decision is pending, and whether a copy is retained until ReleasePacket.
        std::vector<uint8_t> pending;
        std::vector<uint8_t> retained;
        /// Commands not yet pushed to the worker's ring.
        std::vector<SendCommand> commands;
    };

    bool handleInputs(Base::TimePoint now);
    void handleInput(Base::TimePoint now, DecideInput&);
    void applyConfiguration(Base::TimePoint now, const Configuration::SnapshotPointer&);
    bool handlePackets(Base::TimePoint now, WorkerLink&);
    void tick(Base::TimePoint now);
    void performActions();
    void countIfRejected(const Base::ErrorOr<void>&);
    WorkerLink* findLink(Flow::PacketToken);
    void queueCommand(Flow::PacketToken, SendCommand, bool isFinal);
    bool flushCommands();

    void performAction(const Flow::ForwardToBackendServer&);
    void performAction(const Flow::ForwardToCaller&);
    void performAction(const Flow::HandOverToPeer&);
    void performAction(const Flow::HoldPacket&) { }
    void performAction(const Flow::KeepCopy&) { }
    void performAction(const Flow::ReleasePacket&);
    void performAction(const Flow::RefuseToCaller&);
    void performAction(const Flow::DropPacket&);
    void performAction(const Flow::SendToPeer&);
    void performAction(const Flow::Retried&) { }

    Options options_;
    std::unique_ptr<Flow::FlowDecider> decider_;
    std::vector<WorkerLink> links_;
    Base::Ring<DecideInput> inputs_;
    Base::Ring<Flow::SendToPeer> messages_;
    Datagram::Wakeup wakeup_;
    std::atomic<bool> stopping_ { false };
    std::atomic<bool> hasLeft_ { false };
    std::atomic<uint64_t> revision_ { 0 };
    bool leaving_ { false };
    Flow::Actions actions_;
    std::vector<Flow::PacketEvent> packetBatch_;
    AddressTablePointer addressTable_;
    std::unordered_map<Base::EntryVmId, Base::Ipv4Endpoint> dataEndpoints_;
    Base::TimePoint nextTick_ {};
    Base::TimePoint nextStatistics_ {};
    DecideCounters counters_;
};

}
