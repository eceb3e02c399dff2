#pragma once

/// One accepted version of the operators' configuration, as the steering decisions see it.

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibSteering/FlowToken.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Steering {

/// A service that new flows of a route may go to.
struct ServiceShare {
    std::string service;
    /// Relative to the route's other shares.
    uint32_t weight { 1 };
};

/// Where the new flows of one service address and port go.
struct Route {
    std::string name;
    Base::Ipv4Endpoint endpoint;
    std::vector<ServiceShare> shares;
    /// Regions whose backend servers may be used; empty: all.
    std::vector<std::string> regions;
};

/// What the operators say about the backend servers of one service.
struct ServiceProfile {
    std::string name;
    /// How long a backend server is cold after its start.
    Base::milliseconds warmUp { 0 };
    /// Requests a second that a cold backend server bears, from all balancers together.
    double warmUpRequestsPerSecond { 0 };
};

struct Configuration {
    uint64_t version { 0 };
    /// The store's revision that accepted it.
    uint64_t revision { 0 };
    std::vector<Route> routes;
    std::vector<ServiceProfile> services;
    /// A flow without packets for this long may be forgotten.
    Base::milliseconds idleTimeout { 0 };
};

/// What a backend server says of itself.
enum class ServerState : uint8_t {
    Ready,
    Draining,
};

/// One registered backend server.
struct BackendServerEntry {
    BackendServerNumber number;
    std::string service;
    Base::Ipv4Endpoint address;
    std::string failureDomain;
    ServerState state { ServerState::Ready };
    /// Requests it works on at once.
    uint32_t slots { 1 };
    /// How much longer it is cold, as of the entry's writing.
    Base::milliseconds warmUpLeft { 0 };
    /// When its process started (Unix time); tells a restart under the same number. Zero: not told.
    Base::milliseconds startedAt { 0 };
    /// The store's revision that wrote the entry.
    uint64_t revision { 0 };
};

}
