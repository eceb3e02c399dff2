#pragma once

/// The objects of the configuration: services with their addresses, port classes and backend servers, failure domains,
/// and protections. Snapshot.h combines them into a whole configuration.

#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Configuration {

using Base::BackendServerId;
using Base::Ipv4Address;
using Base::Ipv4Endpoint;
using Base::Revision;
using Base::ServiceId;

/// Transport protocol of a port class.
enum class Protocol : uint8_t {
    Tcp,
    Udp,
};

/// When a flow occupies one of a backend server's slots.
enum class SlotUse : uint8_t {
    /// Never; flows of the class occupy a connection only.
    None,
    /// From the flow's first packet to its end.
    PerFlow,
    /// From a payload packet of the caller until the next payload packet of the backend server.
    PerRequest,
};

/// Administrative state of a backend server.
enum class BackendServerState : uint8_t {
    /// Receives new flows.
    Active,
    /// Keeps its established flows but receives no new ones.
    Draining,
    /// Receives no packets; its flows are aborted.
    Out,
};

/// Administrative state of a failure domain.
enum class FailureDomainState : uint8_t {
    In,
    /// No packets are sent to the domain's backend servers; their flows are aborted.
    Out,
};

/// One port of a service and how its flows are handled.
struct PortClass {
    std::string name;
    uint16_t port { 0 };
    Protocol protocol { Protocol::Tcp };
    /// Value of one answered flow relative to the service's other classes; 1 to 1000.
    uint32_t weight { 1 };
    /// 0 is served first and shed last; 0 to 15.
    uint32_t priority { 0 };
    /// Whether executing the same request twice is harmless.
    bool idempotent { false };
    SlotUse slotUse { SlotUse::PerFlow };
    /// How long a caller waits for a response; bounds queueing and retries. 1 ms to 10 minutes.
    Base::milliseconds deadline { 2000 };
    /// Retries allowed per 1000 first attempts; 0 to 1000.
    uint32_t retryPermille { 100 };
    /// A flow without packets for this long is removed. 1 s to 24 h.
    Base::milliseconds idleTimeout { 300'000 };

    bool operator==(const PortClass&) const = default;
};

/// One backend server of one service.
struct BackendServer {
    BackendServerId id;
    std::string name;
    std::string failureDomain;
    /// UDP endpoint that sends and receives its encapsulated packets.
    Ipv4Endpoint tunnel;
    /// HTTP endpoint that serves its health and load.
    Ipv4Endpoint management;
    /// Share of new flows relative to the service's other backend servers; 0 to 1000.
    uint32_t weight { 100 };
    /// Maximum number of concurrent units of work; 1 to 65535.
    uint32_t slots { 2 };
    /// Maximum number of open flows; 1 to 1,000,000.
    uint32_t connections { 2000 };
    BackendServerState state { BackendServerState::Active };
    /// Slow-start period until it receives its full share of new flows; 0 to 1 h.
    Base::milliseconds warmUp { 10'000 };

    bool operator==(const BackendServer&) const = default;
};

/// A load-balanced service that callers reach at its addresses and ports.
struct Service {
    ServiceId id;
    std::string name;
    std::vector<Ipv4Address> addresses;
    std::vector<PortClass> portClasses;
    std::vector<BackendServer> backendServers;
    /// Whether a balancer prefers backend servers of its own failure domain for new flows.
    /// FIXME: Stored and displayed, but ignored when flows are placed.
    bool preferLocalDomain { false };
    /// Revision of the last change to the service; new changes must be based on it.
    Revision changedAt;

    bool operator==(const Service&) const = default;
};

/// A failure domain and the region it belongs to.
struct FailureDomain {
    std::string name;
    std::string region;
    FailureDomainState state { FailureDomainState::In };
    /// Revision of the last change to the domain; new changes must be based on it.
    Revision changedAt;

    bool operator==(const FailureDomain&) const = default;
};

/// Guards a path, such as a manual fix, against automated changes that do not explicitly override the protection.
struct Protection {
    /// "service/rota", "service/rota/backend-server/rota-3", "service/rota/backend-server/rota-3/weight",
    /// "domain/brum".
    std::string path;
    std::string reason;
    std::string author;
    Revision since;
    /// Wall-clock time from which the protection no longer applies.
    std::optional<Base::WallTime> expiresAt;

    bool operator==(const Protection&) const = default;
};

}
