#pragma once

/// Log events of the operators' endpoint, numbers 4000 to 4999.

#include <LibLog/Event.h>
#include <array>

namespace Operator::Events {

using Log::Event;
using Log::Level;

inline constexpr Event changeAccepted { 4001, "change_accepted", Level::Info,
    "A change was accepted, or a repeated request returned the outcome of a change accepted earlier." };
inline constexpr Event changeNotAccepted { 4002, "change_not_accepted", Level::Info,
    "A change was refused and nothing was changed; outcome and detail give the reason." };
inline constexpr Event changeUnknown { 4003, "change_unknown", Level::Warning,
    "The store's response was lost and the outcome could not be determined before the timeout; repeat the request." };
inline constexpr Event storeUnavailable { 4004, "store_unavailable", Level::Warning,
    "The change log could not be read to its end; replies contain the last known configuration." };
inline constexpr Event balancerUnresponsive { 4005, "balancer_silent", Level::Warning,
    "The status query to the balancer beside this endpoint failed; error gives the reason." };

/// All events of this library, ordered by number.
inline constexpr std::array all { changeAccepted, changeNotAccepted, changeUnknown, storeUnavailable,
    balancerUnresponsive };

}
