#pragma once

#include <LibBase/Error.h>
#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>
#include <LibConfiguration/Snapshot.h>
#include <LibStore/Store.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Configuration {
struct Change;
}

namespace Control {

using Base::EntryVmId;
using Base::Revision;
using Base::TimePoint;

/// An entry VM in this node's view of the membership.
struct Member {
    EntryVmId id;
    /// Changes each time the process starts, so that a replacement under the same address is a new member.
    uint64_t incarnation { 0 };
    std::string failureDomain;
    std::string region;
    /// Endpoint to which other balancers forward packets.
    Base::Ipv4Endpoint dataEndpoint;
    /// False while the member is suspected or its failure domain is unreachable.
    bool reachable { true };
    /// Whether the member has announced a graceful leave.
    bool leaving { false };
};

/// One entry of the platform's VM list, which may be out of date.
struct ListedVm {
    EntryVmId id;
    std::string failureDomain;
    std::string region;
    bool leaving { false };
};

/// The evidence that the configuration in force is current.
enum class Evidence : uint8_t {
    /// No configuration is known; the node serves nothing.
    None,
    /// Confirmed by this node's own recent read of the store.
    Store,
    /// Confirmed recently by peers; this node has not read the store recently.
    Peers,
    /// Retained from earlier; neither the store nor peers have confirmed it recently.
    Unconfirmed,
};

/// Kinds of control messages, for the byte budget and the traffic statistics.
enum class MessageKind : uint8_t {
    Membership,
    Dissemination,
    AntiEntropy,
    CatchUp,
    Acknowledgement,
    FlowControl,
};

/// Action: sends bytes to another entry VM's control endpoint.
struct SendMessage {
    EntryVmId to;
    MessageKind kind { MessageKind::Membership };
    std::vector<std::byte> bytes;
};

/// Action: calls the platform's store. The host passes the response to handleStoreResponse with the same id.
struct CallStore {
    Store::RequestId id { 0 };
    Store::Request request;
};

/// Action: puts a newer configuration in force on this node.
struct EnforceConfiguration {
    Configuration::SnapshotPointer snapshot;
    Evidence evidence { Evidence::None };
};

/// Action: reports a changed set of members.
struct MembersChanged {
    /// Increases with each change of this node's view.
    uint64_t version { 0 };
    std::vector<Member> members;
};

/// Action: logs a numbered event (see docs/EVENTS.md). The fields are already formatted as "name=value name=value".
struct LogEvent {
    uint32_t number { 0 };
    std::string fields;
};

using ControlAction = std::variant<SendMessage, CallStore, EnforceConfiguration, MembersChanged, LogEvent>;
using ControlActions = std::vector<ControlAction>;

/// How many members have a revision in force.
struct InForceSummary {
    Revision revision;
    uint32_t inForce { 0 };
    uint32_t total { 0 };
    /// Members not known to have it in force, at most 32.
    std::vector<EntryVmId> missing;
};

struct ControlStatistics;

/// Membership, configuration dissemination and recovery of one entry VM. Uses no clock, socket, thread or random device
/// of its own. Not thread-safe; all calls must come from one thread.
class ControlNode {
public:
    struct Options {
        EntryVmId self;
        uint64_t incarnation { 1 };
        std::string failureDomain;
        std::string region;
        Base::Ipv4Endpoint dataEndpoint;
        /// Members to contact first, before the VM list has been read.
        std::vector<EntryVmId> seeds;
        uint64_t seed { 1 };
        /// Limit on the control traffic sent by this node, in bytes per second.
        uint32_t controlBytesPerSecond { 20'000 };
        /// Number of watchers of the store in each failure domain.
        uint32_t watchersPerDomain { 2 };
        /// Members that are already known and need not be discovered.
        std::vector<Member> members;
        /// Creates the snapshot that results from a change; empty means Configuration::apply. A host with many nodes in
        /// one process can share the results between them.
        std::function<Base::ErrorOr<Configuration::SnapshotPointer>(
            const Configuration::SnapshotPointer&, const Configuration::Change&)>
            applyChange;
        /// Whether to emit MembersChanged actions. members() is available in either case.
        bool reportMembers { true };
    };

    /// Returns InvalidArgument if self, incarnation or failure domain is missing.
    static Base::ErrorOr<std::unique_ptr<ControlNode>> create(const Options&);

    virtual ~ControlNode() = default;

    /// Must be called at least every 50 ms.
    virtual void handleTick(TimePoint now, ControlActions&) = 0;
    /// Handles a message from another member. The host has authenticated the message and limited its size. The errors
    /// Malformed, Stale and TooLarge leave the state unchanged.
    virtual Base::ErrorOr<void> handleMessage(
        TimePoint now, EntryVmId sender, std::span<const std::byte>, ControlActions&)
        = 0;
    /// Handles the response to an CallStore action. Returns Stale if the call is no longer pending.
    virtual Base::ErrorOr<void> handleStoreResponse(
        TimePoint now, Store::RequestId, const Store::Answer&, ControlActions&)
        = 0;
    /// Handles the platform's VM list after the host has read it.
    virtual void handleVmList(TimePoint now, std::vector<ListedVm>, ControlActions&) = 0;
    /// Announces a graceful leave to the peers.
    virtual void beginLeaving(TimePoint now, ControlActions&) = 0;
    /// The configuration in force on this node; nullptr if none is known.
    virtual Configuration::SnapshotPointer configuration() const = 0;
    /// The evidence for this configuration, and the time since that evidence was last renewed.
    virtual Evidence evidence() const = 0;
    virtual Base::nanoseconds evidenceAge(TimePoint now) const = 0;
    virtual std::vector<Member> members() const = 0;
    /// Which members have the newest revision known to this node in force.
    virtual InForceSummary inForce() const = 0;
    virtual const ControlStatistics& statistics() const = 0;
};

}
