#pragma once

/// One accepted version of the operators' configuration, in the form that steering decisions use.

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/StorePosition.h>
#include <LibBase/Time.h>
#include <LibSteering/FlowToken.h>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Steering {

/// A service that new flows of a route may go to.
struct ServiceShare {
    std::string service;
    /// Relative to the route's other shares.
    uint32_t weight { 1 };
};

/// What operators state about the requests of a route.
struct TrafficClass {
    /// Routes with a smaller number get room first.
    uint32_t priority { 0 };
    /// Whether a request may be executed more than once.
    bool isIdempotent { false };
    /// The time within which callers expect the response, from their first attempt. Zero: not given.
    Base::milliseconds latencyObjective { 0 };
    /// The time after which callers no longer wait for the response. Zero: not given.
    Base::milliseconds timeout { 0 };

    bool operator==(const TrafficClass&) const = default;
};

/// Destination of the new flows of one service address and port.
struct Route {
    std::string name;
    Base::Ipv4Endpoint endpoint;
    TrafficClass traffic;
    std::vector<ServiceShare> shares;
    /// Regions whose backend servers may be used; empty: all.
    std::vector<std::string> regions;
};

/// Operators' settings for the backend servers of one service.
struct ServiceProfile {
    std::string name;
    /// How long a backend server is cold after its start.
    Base::milliseconds warmUp { 0 };
    /// Requests a second that a cold backend server can handle, from all balancers together.
    double warmUpRequestsPerSecond { 0 };
};

struct Configuration {
    uint64_t version { 0 };
    /// The store's position at which it was accepted.
    Base::StorePosition position;
    std::vector<Route> routes;
    std::vector<ServiceProfile> services;
    /// The state of a flow without packets for this long may be removed.
    Base::milliseconds idleTimeout { 0 };

    /// Operators' versions decide, since a store that comes back from a copy may show an earlier configuration for a
    /// while. It may also give the same version to another one; then the position decides.
    bool isNewerThan(const Configuration& other) const
    {
        return std::tie(version, position) > std::tie(other.version, other.position);
    }
};

/// State that a backend server reports.
enum class ServerState : uint8_t {
    Ready,
    Draining,
};

/// One registered backend server.
struct BackendServerEntry {
    BackendServerNumber number;
    /// The id under which it is registered. Ids that differ may have the same number; see ServerClaims.
    std::string id;
    std::string service;
    Base::Ipv4Endpoint address;
    std::string failureDomain;
    ServerState state { ServerState::Ready };
    /// Requests that it handles concurrently.
    uint32_t slots { 1 };
    /// Remaining warm-up time when the entry was written.
    Base::milliseconds warmUpLeft { 0 };
    /// When its process started (Unix time), to detect a restart under the same number. Zero if not given.
    Base::milliseconds startedAt { 0 };
    /// The store revision at which the entry was written.
    uint64_t revision { 0 };
    /// The server's own count of its writes since its start.
    uint64_t sequence { 0 };

    /// Whether the server wrote the other entry later.
    bool isOlderThan(const BackendServerEntry& other) const
    {
        return std::tie(startedAt, sequence) < std::tie(other.startedAt, other.sequence);
    }
};

}
