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

/// Bytes that one node handled within one second.
struct NodeTraffic {
    std::array<uint64_t, Control::messageKindCount> sent {};
    std::array<uint64_t, Control::messageKindCount> received {};

    uint64_t total() const;
};

/// Control nodes of a whole fleet in one process and in virtual time, with a fake store and network, checking
/// throughout that no node goes back and that every configuration in force is the one that was accepted.
class FakeFleet {
public:
    struct Options {
        std::size_t nodes { 4 };
        std::size_t domains { 3 };
        std::size_t regions { 1 };
        uint64_t seed { 1 };
        /// Whether the nodes know each other from the start.
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
    /// Whether a node is cut off from the store; empty: none is.
    std::function<bool(std::size_t node)> isCutFromStore;
    /// Called for each log event of a node.
    std::function<void(std::size_t node, const Control::LogEvent&)> onEvent;
    /// Called when a node puts a revision in force.
    std::function<void(std::size_t node, Base::Revision)> onEnforced;

    /// Starts every node, spread over one tick.
    void startAll();
    /// Starts a node's process, empty, under a new incarnation.
    void start(std::size_t node);
    /// Ends a node's process without notice.
    void kill(std::size_t node);
    /// Stops a node's process for a while; what arrives meanwhile waits.
    void pause(std::size_t node, Base::milliseconds duration);
    /// Ends a pause.
    void resume(std::size_t node);
    /// Announces a leave, and ends the process a second later.
    void leave(std::size_t node);
    /// Sets the platform's VM list and hands it to all running nodes; nodes that start later read it as well.
    void announceVmList(const std::vector<std::size_t>& nodes);
    /// Lets virtual time pass.
    void run(Base::nanoseconds duration);
    /// Lets virtual time pass until a condition holds, checked every 50 ms; false after the limit.
    bool runUntil(const std::function<bool()>& condition, Base::nanoseconds limit);
    /// Accepts a change in the store, past its faults; its revision.
    Base::Revision acceptChange(std::size_t backendServers = 2);
    /// Sets the accepted configuration as a whole, as a snapshot and its parts in the store.
    void acceptSnapshot(const Configuration::Snapshot&);

    /// Whether every running node has the newest accepted revision in force.
    bool isInForceEverywhere() const;
    /// The running nodes that lack it.
    std::size_t laggingCount() const;
    bool isRunning(std::size_t node) const { return nodes_[node].process != nullptr; }
    Control::ControlNode& node(std::size_t node) { return *nodes_[node].process; }
    Base::EntryVmId id(std::size_t node) const;
    /// The node of an id.
    std::size_t indexOf(Base::EntryVmId id) const { return indexes_.at(id); }
    std::size_t domainOf(std::size_t node) const { return node % options_.domains; }
    std::size_t regionOf(std::size_t node) const { return domainOf(node) % options_.regions; }
    std::size_t size() const { return nodes_.size(); }
    std::string domainName(std::size_t domain) const { return "zone-" + std::to_string(domain); }
    Base::TimePoint now() const { return events_.now(); }
    Base::Revision accepted() const { return accepted_->revision; }
    Configuration::SnapshotPointer acceptedSnapshot() const { return accepted_; }
    /// When a node last got a new configuration.
    Base::TimePoint enforcedAt(std::size_t node) const { return nodes_[node].enforcedAt; }
    /// Whether a node takes the other for a reachable member.
    bool hasReachableMember(std::size_t observer, std::size_t node);
    /// Whether a node has the other among its members.
    bool hasMember(std::size_t observer, std::size_t node);

    /// Times a node put an older or an unaccepted configuration in force.
    uint64_t reverts() const { return reverts_; }
    /// How often each event was logged.
    uint64_t eventCount(uint32_t number) const;
    /// Epochs acted under by more than one node.
    uint64_t epochConflicts() const { return epochConflicts_; }
    /// Starts counting traffic anew.
    void resetTraffic();
    /// The busiest second of any node since the last reset, sent and received together.
    NodeTraffic worstTraffic();
    /// The mean of all nodes and seconds since the last reset, in bytes a second, sent and received together.
    std::array<double, Control::messageKindCount> meanTraffic();

private:
    struct Node {
        std::unique_ptr<Control::ControlNode> process;
        uint64_t incarnation { 0 };
        Base::TimePoint pausedUntil {};
        /// What arrives during a pause.
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
    void callStore(std::size_t node, const Control::AskStore&);
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
