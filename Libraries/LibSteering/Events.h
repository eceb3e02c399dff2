#pragma once

/// Typed events and actions of the steering decisions.

#include <LibBase/Identifiers.h>
#include <LibPacket/FlowKey.h>
#include <LibSteering/Version/Configuration.h>
#include <array>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Steering {

/// A newer configuration is in force.
struct ConfigurationChanged {
    std::shared_ptr<const Configuration> configuration;
};

/// A backend server registered or changed its entry.
struct ServerListed {
    BackendServerEntry entry;
};

/// A backend server's entry was removed, or names no server to use.
struct ServerUnlisted {
    BackendServerNumber number;
    std::string id;
};

/// Operators took a failure domain out of service, or put it back.
struct DomainEvacuation {
    std::string failureDomain;
    bool isEvacuated { false };
    /// The store revision at which the evacuation was written; zero for its end.
    uint64_t revision { 0 };
};

/// Another entry VM registered.
struct PeerListed {
    Base::EntryVmId peer;
    std::string failureDomain;
    /// Its endpoint for load reports.
    Base::Ipv4Endpoint reports;
    /// Capacity of its link, in Mbit/s.
    uint64_t linkMegabits { 0 };
};

struct PeerUnlisted {
    Base::EntryVmId peer;
};

/// The store came back from a copy, which may lack what was written to it last. The events up to the next
/// StateSynchronized are what the copy changes.
struct StoreRestored { };

/// All records of the store, or of a copy to which it came back, have been delivered.
struct StateSynchronized { };

/// The store responds to this node, or no longer does.
struct StoreReachable {
    bool isReachable { false };
};

using StateEvent = std::variant<ConfigurationChanged, ServerListed, ServerUnlisted, DomainEvacuation, PeerListed,
    PeerUnlisted, StoreRestored, StateSynchronized, StoreReachable>;

/// Bytes of a first packet, kept for a hedged connection attempt at another backend server.
using FirstPacketBytes = std::array<std::byte, 32>;

/// The fields of a caller's packet that decisions depend on.
struct PacketView {
    Packet::FlowKey flow;
    FlowToken token;
    bool opensFlow { false };
    bool acknowledges { false };
    bool ends { false };
    bool resets { false };
    uint32_t sequence { 0 };
    /// Of a first packet: how many copies of it the caller has sent before.
    uint32_t acknowledged { 0 };
    uint32_t dataBytes { 0 };
};

/// Why a packet was not forwarded. toString returns the names used in counters and log fields.
enum class Refusal : uint8_t {
    None,
    /// No configuration has been received yet.
    NotSynchronized,
    /// No route for the packet's service address and port.
    NoRoute,
    /// The route's services have no usable backend server.
    NoServer,
    /// A packet of an open flow without a token.
    NoToken,
    /// The token identifies no backend server known here.
    UnknownToken,
    /// The token is tentative, and nothing known here shows that the caller chose its server.
    UnconfirmedToken,
    /// A copy of the first packet of a flow that the full flow table cannot hold.
    FlowTableFull,
    /// The flow's backend server has ended or does not respond.
    ServerGone,
    /// The room of the route's service is short; the request has not run.
    NoRoom,
};
constexpr std::size_t refusalCount = 10;
std::string_view toString(Refusal);

enum class VerdictKind : uint8_t {
    Forward,
    /// Nothing is sent now: a first packet that waits for room. It is forwarded or reset later.
    Wait,
    /// Send the caller a reset, since its flow will not open, or its backend server is gone.
    Reset,
    Drop,
};

/// The decision about a packet.
struct Verdict {
    VerdictKind kind { VerdictKind::Drop };
    Refusal refusal { Refusal::None };
    Base::Ipv4Endpoint server;
    BackendServerNumber number;
    FlowToken token;
};

/// Asks for a TCP connection to a backend server, to determine whether it can be reached.
struct ProbeRequest {
    BackendServerNumber server;
    Base::Ipv4Endpoint address;
};

/// How a backend server's host answered a probe.
enum class ProbeAnswer : uint8_t {
    /// Not at all, or the probe was not made.
    None,
    Accepted,
    /// The host runs, but no process listens at the address.
    Refused,
};

/// The result of a ProbeRequest.
struct ServerProbed {
    BackendServerNumber server;
    /// False if the address neither accepted nor refused the connection.
    bool isReachable { false };
    ProbeAnswer answer { ProbeAnswer::None };
};

/// A reset to be sent to the caller of an open flow whose backend server is gone, or of a first packet that found no
/// room. Only the latter shows that the caller's request was not executed.
struct FlowReset {
    Packet::FlowKey flow;
    /// What the caller has acknowledged; callers ignore a reset with a sequence number far from it. Zero if the flow
    /// has not opened.
    uint32_t acknowledged { 0 };
};

/// A hedged connection attempt: a first packet that is sent to a further backend server.
struct HedgedAttempt {
    FirstPacketBytes bytes;
    Verdict verdict;
};

}
