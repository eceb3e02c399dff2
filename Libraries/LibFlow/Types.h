#pragma once

/// Input events, output actions and the counted reasons of flow decisions.

#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>
#include <LibPacket/PacketSummary.h>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace Flow {

using Base::BackendServerId;
using Base::EntryVmId;
using Base::Revision;
using Base::ServiceId;
using Base::TimePoint;

/// Identifies a packet buffer that the host (daemon, test or benchmark) holds while a decision is pending.
using PacketToken = uint32_t;

/// Maximum number of times one packet is forwarded between balancers.
constexpr uint8_t maximumHandOvers = 4;

/// Why a packet is forwarded from one balancer to another.
enum class HandOverReason : uint8_t {
    /// The receiver owns the flow in the sender's view.
    ToOwner,
    /// The sender owns the bucket now and queries a previous owner for a record of the flow.
    AskPreviousOwner,
    /// Response to AskPreviousOwner or ToOwner: the sender has no record of the flow; the receiver decides.
    NotHere,
    /// The sender has no capacity left; the receiver reported some and is requested to admit the flow.
    Spill,
};

/// Header that a balancer adds to a packet forwarded to another balancer.
struct HandOver {
    HandOverReason reason { HandOverReason::ToOwner };
    /// Number of transfers between balancers, including this one.
    uint8_t hops { 0 };
    /// Configuration revision on which the sender based its decision.
    Revision revision;
    /// The balancer that received the packet from the fabric.
    EntryVmId origin;
    /// The balancer that owns the flow by the bucket table and keeps a record of it. Set for Spill, and where a
    /// response has to reach that balancer; invalid otherwise.
    EntryVmId flowOwnerId;
    /// The backend server that the decision concerns: for Spill the suggested one, for return packets the sender of the
    /// response; may be invalid.
    BackendServerId backendServer;
};

/// Why a packet is dropped. Each reason has a counter.
enum class DropReason : uint8_t {
    UnknownAddress,
    UnknownBackendServer,
    WrongServiceForBackendServer,
    NoFlow,
    StaleAnswer,
    HandOverLimit,
    NoOwner,
    BackendServerOut,
    DomainOut,
    QueueFull,
    DuplicateFirstPacket,
    SlotBusy,
    NotReady,
    Malformed,
};

/// Why a flow is refused. Each reason has a counter.
enum class RefusalReason : uint8_t {
    NoBackendServer,
    NoRoom,
    DeadlinePassed,
    ShedByPriority,
    RefusedByBackendServer,
    RetryBudgetExhausted,
    DomainOut,
    NotReady,
};

/// Whether a request of the refused flow may have been executed. Only NotRun guarantees that nothing reached a backend
/// server.
enum class ExecutionStatus : uint8_t {
    NotRun,
    RefusedByBackendServer,
    Unknown,
};

/// Why a first packet was sent to another backend server. Each reason has a counter.
enum class RetryReason : uint8_t {
    BackendServerRefused,
    NoAnswer,
    BackendServerLost,
};

std::string_view toString(HandOverReason);
std::string_view toString(DropReason);
std::string_view toString(RefusalReason);
std::string_view toString(ExecutionStatus);
std::string_view toString(RetryReason);

/// Forward the packet, encapsulated, to a backend server.
struct ForwardToBackendServer {
    PacketToken packet { 0 };
    BackendServerId backendServer;
};

/// Forward the packet to its caller through the fabric.
struct ForwardToCaller {
    PacketToken packet { 0 };
};

/// Forward the packet to another balancer's data port.
struct HandOverToPeer {
    PacketToken packet { 0 };
    EntryVmId peer;
    HandOver header;
};

/// Hold the packet's buffer until a later action names its token.
struct HoldPacket {
    PacketToken packet { 0 };
};

/// Keep a copy of the packet under the same token after forwarding it, until ReleasePacket.
struct KeepCopy {
    PacketToken packet { 0 };
};

/// Free the held buffer or kept copy.
struct ReleasePacket {
    PacketToken packet { 0 };
};

/// Respond to the packet with a refusal (TCP reset, or ICMP unreachable for UDP) and free it.
struct RefuseToCaller {
    PacketToken packet { 0 };
    RefusalReason reason { RefusalReason::NoRoom };
    ExecutionStatus truth { ExecutionStatus::Unknown };
};

/// Free the packet without a response.
struct DropPacket {
    PacketToken packet { 0 };
    DropReason reason { DropReason::NoFlow };
};

/// Send a control message to another balancer. The host treats the bytes as opaque and counts them as control traffic.
struct SendToPeer {
    EntryVmId peer;
    std::vector<std::byte> message;
};

/// A first packet was retried on another backend server. Only for counters and tests.
struct Retried {
    BackendServerId from;
    BackendServerId to;
    RetryReason reason { RetryReason::NoAnswer };
};

using Action = std::variant<ForwardToBackendServer, ForwardToCaller, HandOverToPeer, HoldPacket, KeepCopy,
    ReleasePacket, RefuseToCaller, DropPacket, SendToPeer, Retried>;

/// Actions in the order in which the host must carry them out. The host reuses the vector to avoid an allocation per
/// packet.
using Actions = std::vector<Action>;

/// Where a packet was received from.
enum class Arrival : uint8_t {
    /// From the fabric, in either direction; not forwarded by a balancer before.
    Fabric,
    /// From another balancer, with a HandOver header.
    Peer,
};

/// One packet to be decided.
struct PacketEvent {
    Packet::PacketSummary packet;
    PacketToken token { 0 };
    Arrival arrival { Arrival::Fabric };
    /// Only for Arrival::Peer: the forwarding balancer and its header.
    EntryVmId sender;
    HandOver handOver;
    /// Only for Direction::ToCaller: the backend server that owns the tunnel endpoint the packet came from.
    BackendServerId backendServer;
};

/// Load and health of one backend server, from a probe or a report.
struct BackendServerReport {
    BackendServerId backendServer;
    bool healthy { true };
    /// Requests in flight or queued at the server, as it reports them.
    uint32_t slotsInUse { 0 };
    uint32_t connections { 0 };
    /// Different for each start of the server's process; 0 if not reported.
    uint64_t startToken { 0 };
    /// When the prober read the report.
    TimePoint observedAt {};
};

/// One balancer in the membership view.
struct Peer {
    EntryVmId id;
    /// Different for each start of the balancer's process.
    uint64_t incarnation { 0 };
    std::string failureDomain;
    /// False while the balancer is suspected of having failed: it keeps its flows, but gets no new ones.
    bool reachable { true };
};

/// The balancers in the membership view. A balancer that is missing has left or is confirmed to have failed.
struct PeerView {
    /// Increases with each change of this node's view.
    uint64_t version { 0 };
    std::vector<Peer> peers;
};

}
