#pragma once

/// Events of proberd: 2000 to 2499.

#include <LibLog/Event.h>
#include <array>

namespace Prober::Events {

using Log::Event;
using Log::Level;

inline constexpr Event targetsChanged { 2001, "targets_changed", Level::Info,
    "The balancer changed the list of backend servers to probe; targets is their number." };
inline constexpr Event probeFailed { 2010, "probe_failed", Level::Debug,
    "A probe failed and the backend server is reported as unhealthy; reason is the counter's name." };
inline constexpr Event healthChanged { 2011, "health_changed", Level::Info,
    "The health of a backend server, as seen by this prober, has changed." };
inline constexpr Event balancerUnreachable { 2100, "balancer_unreachable", Level::Warning,
    "The balancer does not accept reports; probing continues with the last known targets." };
inline constexpr Event balancerReachable { 2101, "balancer_reachable", Level::Info, "The balancer accepts reports." };
inline constexpr Event reportsLost { 2102, "reports_lost", Level::Warning,
    "Reports were dropped because the ring to the report thread was full; count is the total since the start." };

/// All events of this area, in the order of their numbers.
inline constexpr std::array all { targetsChanged, probeFailed, healthChanged, balancerUnreachable, balancerReachable,
    reportsLost };

}
