#pragma once

/// Events of balancerd: 1000 to 1999.

#include <LibLog/Event.h>
#include <array>

namespace Balancer::Events {

using Log::Event;
using Log::Level;

inline constexpr Event servingNothing { 1001, "serving_nothing", Level::Warning,
    "No configuration has been received yet, neither from the store nor from peers; all packets are dropped." };
inline constexpr Event configurationInForce { 1002, "configuration_in_force", Level::Info,
    "A newer configuration is in force; revision identifies it, evidence is what confirmed it." };
inline constexpr Event membersChanged { 1003, "members_changed", Level::Info,
    "The known members have changed; members, reachable and leaving are numbers of entry VMs." };
inline constexpr Event leaving { 1010, "leaving", Level::Info,
    "The balancer is leaving: it accepts no new flows and transfers its state to other balancers." };
inline constexpr Event left { 1011, "left", Level::Info, "All state has been transferred; the process exits." };
inline constexpr Event leaveTimedOut { 1012, "leave_timed_out", Level::Warning,
    "The state transfer did not complete within stop.timeout_ms; the process exits without completing it." };
inline constexpr Event flowRefused { 1203, "flow_refused", Level::Debug,
    "A flow was refused; reason is the counter's name, truth is whether its work was executed." };
inline constexpr Event packetsLost { 1210, "packets_lost", Level::Warning,
    "Packets were dropped because a ring was full or all buffers were in use; the fields are totals since the start." };
inline constexpr Event unauthenticatedMessages { 1300, "strangers", Level::Warning,
    "Messages or hand-overs signed with an unknown key were ignored; the fields are totals since the start." };
inline constexpr Event controlRefused { 1301, "control_refused", Level::Debug,
    "A peer's message or a store response was rejected without effect; error is the reason." };
inline constexpr Event storeRefused { 1400, "store_call_refused", Level::Warning,
    "A store call was not started because too many are in flight." };
inline constexpr Event vmListUnavailable { 1401, "vm_list_unavailable", Level::Warning,
    "The platform's VM list could not be read; the last known members are kept." };
inline constexpr Event proberReportsMissing { 1500, "prober_silent", Level::Warning,
    "No report was received from the prober for 5 s; decisions continue without current load reports." };
inline constexpr Event proberReportsResumed { 1501, "prober_back", Level::Info,
    "Reports from the prober are received again." };

/// All events of this area, in the order of their numbers.
inline constexpr std::array all { servingNothing, configurationInForce, membersChanged, leaving, left, leaveTimedOut,
    flowRefused, packetsLost, unauthenticatedMessages, controlRefused, storeRefused, vmListUnavailable,
    proberReportsMissing, proberReportsResumed };

}
