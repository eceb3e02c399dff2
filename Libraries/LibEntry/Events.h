#pragma once

/// Log events of entryd: 5000 to 5999.

#include <LibLog/Event.h>
#include <array>

namespace Entry::Events {

using Log::Event;
using Log::Level;

/// Line limit per second for events logged for each flow. No line is dropped at a machine's peak rate of about 160
/// flows/s; at ten times that load the log volume does not grow further.
inline constexpr uint32_t flowLinesPerSecond = 200;
/// Line limit per second for malformed datagrams, which any host may send.
inline constexpr uint32_t malformedLinesPerSecond = 20;
/// Line limit per second for events about single backend servers; thousands of them at startup must not flood the log.
inline constexpr uint32_t serverLinesPerSecond = 1000;

/// Line limit per second for batches that are not applied; peers may send the same one together.
inline constexpr uint32_t batchLinesPerSecond = 20;

inline constexpr Event flowPlaced { 5001, "flow_placed", Level::Info,
    "A flow's first packet was sent to a backend server; the fields show what decided the choice.",
    flowLinesPerSecond };
inline constexpr Event flowAttemptedAgain { 5002, "flow_offered_again", Level::Info,
    "The previous backend server did not respond in time (reoffered), or the caller retransmitted the first packet "
    "(copied); the flow is attempted at another one.",
    flowLinesPerSecond };
inline constexpr Event flowOpenedLate { 5003, "flow_opened_late", Level::Info,
    "A flow that was attempted at several backend servers opened at this one.", flowLinesPerSecond };
inline constexpr Event flowRefused { 5004, "flow_refused", Level::Info,
    "A packet was not forwarded; reason is the label of its counter.", flowLinesPerSecond };
inline constexpr Event flowNeverOpened { 5005, "flow_never_opened", Level::Info,
    "No completed handshake was seen before callers time out; server is the backend server of the last attempt.",
    flowLinesPerSecond };
inline constexpr Event requestSeen { 5006, "request_seen", Level::Info,
    "A packet with a request header was processed; outcome shows whether it was forwarded, server to which backend "
    "server.",
    flowLinesPerSecond };
inline constexpr Event responseShort { 5007, "answer_short", Level::Info,
    "A response was much shorter than usual for its service address, which indicates a failure; its backend server "
    "counts as busier for held_ms.",
    flowLinesPerSecond };
inline constexpr Event packetMalformed { 5008, "packet_malformed", Level::Info,
    "A datagram at the data address is not a valid packet: too short, or its length contradicts its header.",
    malformedLinesPerSecond };
inline constexpr Event readinessChanged { 5010, "readiness_changed", Level::Info,
    "This entry VM became ready for callers, or is no longer ready; isolated: no backend server responds; outnumbered: "
    "most entry VMs of the failure domain are unresponsive." };
inline constexpr Event leaving { 5011, "leaving", Level::Info, "A stop was requested; open flows are still served." };
inline constexpr Event left { 5012, "left", Level::Info, "No more packets arrived, or the grace period ended." };
inline constexpr Event processPaused { 5013, "process_paused", Level::Warning,
    "This process did not run for more than 1.5 s; its known state may be outdated." };
inline constexpr Event configurationInForce { 5020, "configuration_in_force", Level::Info,
    "A newer configuration was applied; source is the store or the peer that sent it." };
inline constexpr Event serverListed { 5021, "backend_server_listed", Level::Info,
    "A backend server registered or changed its entry.", serverLinesPerSecond };
inline constexpr Event serverUnlisted { 5022, "backend_server_unlisted", Level::Info,
    "A backend server's entry was removed.", serverLinesPerSecond };
inline constexpr Event domainEvacuated { 5023, "domain_evacuation", Level::Info,
    "Operators evacuated a failure domain, or ended its evacuation." };
inline constexpr Event serverUnreachable { 5028, "backend_server_unreachable", Level::Warning,
    "A backend server's host did not answer a TCP connection after the server had stopped responding; requests on open "
    "flows to it are reset.",
    serverLinesPerSecond };
inline constexpr Event recordRefused { 5024, "record_refused", Level::Warning,
    "A record of the store could not be decoded and is not used.", serverLinesPerSecond };
inline constexpr Event peerListed { 5025, "peer_listed", Level::Info, "Another entry VM registered." };
inline constexpr Event peerUnlisted { 5026, "peer_unlisted", Level::Info, "Another entry VM's registration ended." };
inline constexpr Event stateSynchronized { 5027, "beliefs_complete", Level::Info,
    "All records of the store have been received; source is the store or the peer that sent them." };
inline constexpr Event probeFailed { 5029, "probe_failed", Level::Warning,
    "A connection to a backend server could not be opened for a local reason; the server counts as reachable.",
    serverLinesPerSecond };
inline constexpr Event storeLost { 5030, "store_lost", Level::Warning,
    "The store does not respond to this entry VM; the last known state stays in use." };
inline constexpr Event storeRegained { 5031, "store_regained", Level::Info, "The store responds again." };
inline constexpr Event historyGone { 5032, "store_history_gone", Level::Info,
    "The store no longer has the requested changes; all records are read again." };
inline constexpr Event registered { 5033, "registered", Level::Info, "This entry VM was registered in the store." };
inline constexpr Event registrationFailed { 5034, "registration_failed", Level::Warning,
    "This entry VM could not be registered, or its lease could not be renewed; the call is retried." };
inline constexpr Event caughtUp { 5035, "caught_up_from_peer", Level::Info,
    "Newer records than the store had sent were fetched from a peer and applied." };
inline constexpr Event peerFetchFailed { 5036, "peer_gave_no_records", Level::Warning,
    "A request for records to a peer failed or timed out." };
inline constexpr Event storeWatchStarted { 5037, "store_watch_begun", Level::Info,
    "This entry VM watches the store itself and passes its records on to peers." };
inline constexpr Event storeWatchEnded { 5038, "store_watch_ended", Level::Info,
    "Another entry VM of the failure domain watches the store; this one receives records from it." };

inline constexpr Event storeReadDeferred { 5039, "store_read_deferred", Level::Info,
    "The first page of the store's records was read; the records are fetched from peers that read all of them." };

inline constexpr Event batchIgnored { 5040, "batch_ignored", Level::Info,
    "Records from the store or a peer were not applied: they end before the known position, or start after it.",
    batchLinesPerSecond };
inline constexpr Event storeEraChanged { 5041, "store_era_changed", Level::Warning,
    "The store came back from a copy; what was written to it after the copy may be missing." };
inline constexpr Event configurationNotNewer {
    5042, "configuration_not_newer", Level::Warning,
    "A configuration is older than the one in force, which stays; a store that came back from a copy shows such ones."
};
inline constexpr Event serverContested { 5043, "backend_server_contested", Level::Warning,
    "A backend server's entry is not used: another one has its number, or no configuration names its service.",
    serverLinesPerSecond };

/// All events of entryd, in the order of their numbers.
inline constexpr std::array all { flowPlaced, flowAttemptedAgain, flowOpenedLate, flowRefused, flowNeverOpened,
    requestSeen, responseShort, packetMalformed, readinessChanged, leaving, left, processPaused, configurationInForce,
    serverListed, serverUnlisted, domainEvacuated, recordRefused, peerListed, peerUnlisted, stateSynchronized,
    serverUnreachable, probeFailed, storeLost, storeRegained, historyGone, registered, registrationFailed, caughtUp,
    peerFetchFailed, storeWatchStarted, storeWatchEnded, storeReadDeferred, batchIgnored, storeEraChanged,
    configurationNotNewer, serverContested };

}
