#pragma once

/// The one thread that owns the flow decisions: it takes packets from the workers' rings and inputs from the control
/// thread, and turns actions into commands for the workers and messages for the control thread.

#include <LibDataPath/PacketWorker.h>
#include <LibFlow/FlowDecider.h>
#include <unordered_map>
#include <variant>

namespace DataPath {

/// Membership as the data path needs it.
struct PeersInput {
    Flow::PeerView view;
    /// Where packets are handed over to, by entry VM.
    std::unordered_map<Base::EntryVmId, Base::Ipv4Endpoint> dataEndpoints;
};

/// A message of another balancer's decisions.
struct PeerMessageInput {
    Base::EntryVmId sender;
    std::vector<std::byte> bytes;
};

/// This balancer leaves.
struct LeaveInput { };

using DecideInput
    = std::variant<LeaveInput, Configuration::SnapshotPointer, PeersInput, PeerMessageInput, Flow::BackendServerReport>;

/// Totals of the decide thread.
struct DecideCounters {
    Total packets;
    /// Actions that named a token which was not pending.
    Total invalidTokens;
    /// Packets dropped because their destination is not known (any more).
    Total noDestination;
    /// Commands that had to wait because a worker's ring was full.
    Total commandsDelayed;
    /// Control messages refused because the ring to the control thread was full.
    Total messagesRefused;
    /// Inputs that the decisions refused.
    Total inputsRefused;
};

class DecideThread {
public:
    struct Options {
        /// Where packets for callers go.
        Base::Ipv4Endpoint fabric;
        std::size_t inputCapacity { 4096 };
        std::size_t messageCapacity { 4096 };
        AddressTablePublisher* addresses { nullptr };
        /// Called by this thread about once a second, and once at the end.
        std::function<void(const Flow::FlowDecider&)> onStatistics;
        /// Called by this thread for each refused flow; may be empty.
        std::function<void(const Flow::RefuseToCaller&)> onRefusal;
    };

    /// The workers must outlive this thread's run; none may be added later.
    DecideThread(Options, std::unique_ptr<Flow::FlowDecider>, const std::vector<PacketWorker*>&);

    /// The thread's duty; returns after requestStop().
    void run();
    void requestStop();
    /// Any thread: there is something in a ring.
    void wake() { wakeup_.wake(); }

    /// Control thread: puts an input in; false when the ring is full.
    bool push(DecideInput);
    /// Control thread: messages to be sent to other balancers.
    Base::Ring<Flow::SendToPeer>& messages() { return messages_; }

    bool hasLeft() const { return hasLeft_.load(); }
    /// The configuration that packets are decided by; none before the first one.
    Base::Revision revision() const { return { revision_.load() }; }
    const DecideCounters& counters() const { return counters_; }

private:
    /// What is known of the packets of one worker.
    struct WorkerLink {
        PacketWorker* worker { nullptr };
        /// By buffer: whether a decision is pending, and whether a copy is kept.
        std::vector<uint8_t> pending;
        std::vector<uint8_t> kept;
        /// Commands not yet pushed.
        std::vector<SendCommand> commands;
    };

    bool handleInputs(Base::TimePoint now);
    void handleInput(Base::TimePoint now, DecideInput&);
    void enforce(Base::TimePoint now, const Configuration::SnapshotPointer&);
    bool handlePackets(Base::TimePoint now, WorkerLink&);
    void tick(Base::TimePoint now);
    void perform();
    void note(const Base::ErrorOr<void>&);
    WorkerLink* linkOf(Flow::PacketToken);
    void command(Flow::PacketToken, SendCommand, bool isFinal);
    bool flush();

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
    std::vector<Flow::PacketEvent> batch_;
    AddressTablePointer table_;
    std::unordered_map<Base::EntryVmId, Base::Ipv4Endpoint> dataEndpoints_;
    Base::TimePoint nextTick_ {};
    Base::TimePoint nextStatistics_ {};
    DecideCounters counters_;
};

}
