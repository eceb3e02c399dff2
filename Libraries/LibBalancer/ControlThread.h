#pragma once

/// The thread that runs membership and configuration. It owns the control node, the peer transport, the store client
/// and the prober link, and sends inputs to the decide thread.

#include <LibBalancer/BalancerSettings.h>
#include <LibBalancer/ProberLink.h>
#include <LibBalancer/SharedState.h>
#include <LibDataPath/DecideThread.h>
#include <LibPeer/PeerTransport.h>
#include <LibStoreClient/StoreClient.h>
#include <atomic>
#include <deque>

namespace Balancer {

class ControlThread {
public:
    struct Options {
        const BalancerSettings* settings { nullptr };
        uint64_t incarnation { 1 };
        uint64_t seed { 1 };
        SharedState* shared { nullptr };
    };

    /// Binds the control endpoint. Returns ErrorCode::Unavailable if that fails, ErrorCode::InvalidArgument for invalid
    /// keys.
    static Base::ErrorOr<std::unique_ptr<ControlThread>> create(const Options&);

    /// This balancer's id, derived from the bound endpoint.
    Base::EntryVmId self() const { return Base::EntryVmId::fromEndpoint(transport_->endpoint()); }

    /// Creates the control node; call once, before run().
    Base::ErrorOr<void> attach(DataPath::DecideThread&, const Base::Ipv4Endpoint& dataEndpoint);

    /// Runs the thread's loop until requestStop().
    void run();
    void requestStop() { stopping_.store(true); }
    /// Starts the graceful leave. Thread-safe.
    void requestLeave() { leaveRequested_.store(true); }

private:
    explicit ControlThread(const Options&);

    void runOnce(Base::TimePoint now);
    void leaveIfRequested(Base::TimePoint now);
    void handleEnvelope(Peer::Envelope&&);
    std::vector<std::byte> handleRequest(Peer::Channel, std::span<const std::byte> payload);
    Peer::NodeStatus status(Base::TimePoint now) const;
    void handleCompletions(Base::TimePoint now);
    void handleVmList(Base::TimePoint now, const Store::VmListAnswer&);
    void requestVmList(Base::TimePoint now);
    void sendFlowMessages(Base::TimePoint now);
    void tick(Base::TimePoint now);
    void publishState(Base::TimePoint now);
    void pushPendingInputs();
    void performActions(Base::TimePoint now);
    void logRejection(const std::optional<Base::Error>&);

    void performAction(Base::TimePoint now, const Control::SendMessage&);
    void performAction(Base::TimePoint now, const Control::CallStore&);
    void performAction(Base::TimePoint now, const Control::EnforceConfiguration&);
    void performAction(Base::TimePoint now, const Control::MembersChanged&);
    void performAction(Base::TimePoint now, const Control::LogEvent&);

    Options options_;
    std::unique_ptr<Peer::PeerTransport> transport_;
    std::unique_ptr<Store::StoreClient> store_;
    std::unique_ptr<Control::ControlNode> node_;
    DataPath::DecideThread* decide_ { nullptr };
    ProberLink prober_;
    Base::Random random_;
    Control::ControlActions actions_;
    /// Store calls that could not be submitted; completed as unavailable in the next round.
    std::vector<Store::RequestId> rejectedStoreCalls_;
    /// The newest inputs not yet pushed, because the decide thread's ring was full.
    std::optional<Configuration::SnapshotPointer> pendingSnapshot_;
    std::optional<DataPath::PeersInput> pendingPeers_;
    std::atomic<bool> stopping_ { false };
    std::atomic<bool> leaveRequested_ { false };
    bool leaving_ { false };
    bool servingNothingLogged_ { false };
    Base::TimePoint nextTick_ {};
    Base::TimePoint nextVmListRequest_ {};
    Base::TimePoint nextPublishState_ {};
    uint64_t storeCallsRefused_ { 0 };
};

}
