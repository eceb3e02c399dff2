#pragma once

#include <ControlFakes/EventQueue.h>
#include <ControlFakes/FakeNetwork.h>
#include <ControlFakes/FakeStore.h>
#include <LibConfiguration/Change.h>
#include <LibControl/ControlNode.h>
#include <LibControl/Process/ControlStatistics.h>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ControlFakes {

/// Bytes that one node sent and received within one second.
struct NodeTraffic {
    std::array<uint64_t, Control::messageKindCount> sent {};
    std::array<uint64_t, Control::messageKindCount> received {};

    uint64_t total() const;
};

/// Simulates the control nodes of a fleet in one process and in virtual time, with a fake store and network. Checks
/// that no node reverts to an older configuration and that every configuration in force is the accepted one.
class FakeFleet {
public:
    struct Options {
        std::size_t nodes { 4 };
        std::size_t domains { 3 };
        std::size_t regions { 1 };
        uint64_t seed { 1 };
        /// Whether the nodes know all members from the start.
        bool startsJoined { true };
        uint32_t controlBytesPerSecond { 20'000 };
        uint32_t watchersPerDomain { 2 };
        Base::milliseconds tickInterval { 50 };
        Base::microseconds delayInDomain { 250 };
        Base::microseconds delayBetweenDomains { 500 };
        Base::microseconds delayBetweenRegions { 20'000 };
    };

    explicit FakeFleet(const Options&);

    FakeStore store;
    FakeNetwork network;
    /// Whether a node is cut off from the store; if empty, none is.
    std::function<bool(std::size_t node)> isCutFromStore;
    std::function<void(std::size_t node, const Control::LogEvent&)> onEvent;
    std::function<void(std::size_t node, Base::Revision)> onEnforced;

    /// Starts all nodes; their ticks are distributed evenly over one tick interval.
    void startAll();
    /// Starts a node's process without state and under a new incarnation.
    void start(std::size_t node);
    /// Ends a node's process without a leave announcement.
    void kill(std::size_t node);
    /// Pauses a node's process. Messages and store responses that arrive meanwhile are handled after the pause.
    void pause(std::size_t node, Base::milliseconds duration);
    /// Ends a pause.
    void resume(std::size_t node);
    /// Announces a leave and ends the process one second later.
    void leave(std::size_t node);
    /// Sets the platform's VM list and passes it to all running nodes. Nodes started later receive it as well.
    void announceVmList(const std::vector<std::size_t>& nodes);
    /// Advances the virtual time.
    void run(Base::nanoseconds duration);
    /// Advances the virtual time until a condition holds, checked every 50 ms. Returns false if the limit is reached.
    bool runUntil(const std::function<bool()>& condition, Base::nanoseconds limit);
    /// Writes an accepted change to the store regardless of the store's faults. Returns its revision.
    Base::Revision acceptChange(std::size_t backendServers = 2);
    /// Sets the accepted configuration by writing a snapshot and its parts to the store.
    void acceptSnapshot(const Configuration::Snapshot&);

    /// Whether all running nodes have the newest accepted revision in force.
    bool isInForceEverywhere() const;
    /// Number of running nodes that do not have it in force.
    std::size_t laggingCount() const;
    bool isRunning(std::size_t node) const { return nodes_[node].process != nullptr; }
    Control::ControlNode& node(std::size_t node) { return *nodes_[node].process; }
    Base::EntryVmId id(std::size_t node) const;
    std::size_t indexOf(Base::EntryVmId id) const { return indexes_.at(id); }
    std::size_t domainOf(std::size_t node) const { return node % options_.domains; }
    std::size_t regionOf(std::size_t node) const { return domainOf(node) % options_.regions; }
    std::size_t size() const { return nodes_.size(); }
    std::string domainName(std::size_t domain) const { return "zone-" + std::to_string(domain); }
    Base::TimePoint now() const { return events_.now(); }
    Base::Revision accepted() const { return accepted_->revision; }
    Configuration::SnapshotPointer acceptedSnapshot() const { return accepted_; }
    /// When a node last put a new configuration in force.
    Base::TimePoint enforcedAt(std::size_t node) const { return nodes_[node].enforcedAt; }
    /// Whether the observer knows the node as a reachable member.
    bool hasReachableMember(std::size_t observer, std::size_t node);
    /// Whether the observer knows the node as a member.
    bool hasMember(std::size_t observer, std::size_t node);

    /// Number of times that a node put an older or unaccepted configuration in force.
    uint64_t reverts() const { return reverts_; }
    /// Number of times that an event was logged.
    uint64_t eventCount(uint32_t number) const;
    /// Number of lease epochs acquired by more than one node.
    uint64_t epochConflicts() const { return epochConflicts_; }
    /// Resets the traffic counters.
    void resetTraffic();
    /// Traffic of the busiest second of any node since the last reset. All bytes count, sent and received.
    NodeTraffic peakTraffic();
    /// Mean traffic per node since the last reset, in bytes per second, sent and received together.
    std::array<double, Control::messageKindCount> meanTraffic();

private:
    struct Node {
        std::unique_ptr<Control::ControlNode> process;
        uint64_t incarnation { 0 };
        Base::TimePoint pausedUntil {};
        /// Messages and responses that arrive during a pause.
        std::vector<EventQueue::Action> deferredActions;
        Base::Revision inForce;
        Base::TimePoint enforcedAt {};
        NodeTraffic traffic;
        int64_t trafficSecond { 0 };
    };

    void readVmList(std::size_t node);
    void tick(std::size_t node, uint64_t incarnation);
    void tickStore();
    void runDeferredActions(std::size_t node);
    void runOrDefer(std::size_t node, uint64_t incarnation, EventQueue::Action);
    void perform(std::size_t node, Control::ControlActions&);
    void send(std::size_t from, Control::SendMessage&);
    void deliver(std::size_t from, std::size_t to, uint64_t incarnation, const std::vector<std::byte>&);
    void callStore(std::size_t node, const Control::CallStore&);
    void enforce(std::size_t node, const Control::EnforceConfiguration&);
    void log(std::size_t node, const Control::LogEvent&);
    void advanceTrafficSecond(Node&);
    Base::ErrorOr<Configuration::SnapshotPointer> applyShared(
        const Configuration::SnapshotPointer&, const Configuration::Change&);
    Control::ControlNode::Options nodeOptions(std::size_t node);

    Options options_;
    EventQueue events_;
    std::vector<Node> nodes_;
    std::map<Base::EntryVmId, std::size_t> indexes_;
    Configuration::SnapshotPointer accepted_;
    std::map<Base::Revision, Configuration::SnapshotPointer> acceptedHistory_;
    std::vector<Control::ListedVm> vmList_;
    std::map<uint32_t, uint64_t> eventCounts_;
    std::map<std::string, std::size_t> epochHolders_;
    uint64_t reverts_ { 0 };
    uint64_t epochConflicts_ { 0 };
    NodeTraffic peakTraffic_;
    NodeTraffic totalTraffic_;
    Base::TimePoint trafficSince_ {};
};

}
