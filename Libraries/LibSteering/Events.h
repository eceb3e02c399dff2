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

/// A backend server's entry is gone.
struct ServerUnlisted {
    BackendServerNumber number;
};

/// Operators took a failure domain out, or took it back.
struct DomainEvacuation {
    std::string failureDomain;
    bool isEvacuated { false };
};

/// Another entry VM registered.
struct PeerListed {
    Base::EntryVmId peer;
    std::string failureDomain;
    /// Where it takes load reports.
    Base::Ipv4Endpoint reports;
    /// Capacity of its link, in Mbit/s.
    uint64_t linkMegabits { 0 };
};

struct PeerUnlisted {
    Base::EntryVmId peer;
};

/// Everything the store held has been delivered once.
struct BeliefsSynchronized { };

/// The store answers this node, or no longer does.
struct StoreReachable {
    bool isReachable { false };
};

using BeliefEvent = std::variant<ConfigurationChanged, ServerListed, ServerUnlisted, DomainEvacuation, PeerListed,
    PeerUnlisted, BeliefsSynchronized, StoreReachable>;

/// Bytes of a first packet that are kept, so that it can be offered to a second backend server.
using FirstPacketBytes = std::array<std::byte, 32>;

/// What the decisions see of a packet from a caller.
struct PacketView {
    Packet::FlowKey flow;
    FlowToken token;
    bool opensFlow { false };
    bool acknowledges { false };
    bool ends { false };
    bool resets { false };
    uint32_t sequence { 0 };
    uint32_t acknowledged { 0 };
    uint32_t dataBytes { 0 };
};

/// Why a packet was not forwarded. The names are those of counters and log fields.
enum class Refusal : uint8_t {
    None,
    /// No configuration is known yet.
    NotSynchronized,
    /// No route for the packet's service address and port.
    NoRoute,
    /// The route's services have no backend server that may be used.
    NoServer,
    /// A packet of an open flow without a token.
    NoToken,
    /// The token names no backend server known here.
    UnknownToken,
};
constexpr std::size_t refusalCount = 6;
std::string_view toString(Refusal);

enum class VerdictKind : uint8_t {
    Forward,
    /// Tell the caller that its flow will not open.
    Reset,
    Drop,
};

/// Where a packet goes.
struct Verdict {
    VerdictKind kind { VerdictKind::Drop };
    Refusal refusal { Refusal::None };
    Base::Ipv4Endpoint server;
    BackendServerNumber number;
    FlowToken token;
};

/// A first packet that is offered to a further backend server.
struct Reoffer {
    FirstPacketBytes bytes;
    Verdict verdict;
};

}
