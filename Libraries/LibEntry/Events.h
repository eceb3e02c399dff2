#pragma once

/// Log events of entryd: 5000 to 5999.

#include <LibLog/Event.h>
#include <array>

namespace Entry::Events {

using Log::Event;
using Log::Level;

/// Most lines a second of the events that come with each flow. At the busiest day's rate of a machine, about 160 flows
/// a second, nothing is left out; at ten times the load the log grows no further.
inline constexpr uint32_t flowLinesPerSecond = 200;
/// Of datagrams that are no packets, which anybody may send.
inline constexpr uint32_t malformedLinesPerSecond = 20;
/// Of events about single backend servers; a start with thousands of them must not flood the log.
inline constexpr uint32_t serverLinesPerSecond = 1000;

inline constexpr Event flowPlaced { 5001, "flow_placed", Level::Info,
    "A flow's first packet was sent to a backend server; the fields tell what decided the choice.",
    flowLinesPerSecond };
inline constexpr Event flowOffered { 5002, "flow_offered_again", Level::Info,
    "The backend server before gave no sign of life in time (reoffered), or the caller sent a copy (copied); another "
    "one "
    "gets the flow.",
    flowLinesPerSecond };
inline constexpr Event flowOpened { 5003, "flow_opened_late", Level::Info,
    "A flow that was offered to several backend servers opened at this one.", flowLinesPerSecond };
inline constexpr Event flowRefused { 5004, "flow_refused", Level::Info,
    "A packet was not forwarded; reason is the counter's name.", flowLinesPerSecond };
inline constexpr Event flowNeverOpened { 5005, "flow_never_opened", Level::Info,
    "No handshake was seen within the time that callers wait; server is the last one that was offered the flow.",
    flowLinesPerSecond };
inline constexpr Event requestSeen { 5006, "request_seen", Level::Info,
    "A packet with the head of a request passed; outcome tells whether it was forwarded, and to whom.",
    flowLinesPerSecond };
inline constexpr Event answerShort { 5007, "answer_short", Level::Info,
    "An answer was far shorter than usual at its service address, as failures are; its backend server counts as busier "
    "for a while.",
    flowLinesPerSecond };
inline constexpr Event packetMalformed { 5008, "packet_malformed", Level::Info,
    "A datagram at the data address is no packet: too short, or its length contradicts its head.",
    malformedLinesPerSecond };
inline constexpr Event readinessChanged { 5010, "readiness_changed", Level::Info,
    "Callers may, or may no longer, be sent to this entry VM; isolated: no backend server answers; outnumbered: most "
    "entry VMs of the failure domain are silent." };
inline constexpr Event leaving { 5011, "leaving", Level::Info, "A stop was asked for; open flows are still served." };
inline constexpr Event left { 5012, "left", Level::Info, "No packets came any more, or the time was up." };
inline constexpr Event processPaused { 5013, "process_paused", Level::Warning,
    "This process did not run for a while; what it believes may be old." };
inline constexpr Event configurationInForce { 5020, "configuration_in_force", Level::Info,
    "A newer configuration was taken over; source says from whom." };
inline constexpr Event serverListed { 5021, "backend_server_listed", Level::Info,
    "A backend server registered or changed its entry.", serverLinesPerSecond };
inline constexpr Event serverUnlisted { 5022, "backend_server_unlisted", Level::Info,
    "A backend server's entry is gone.", serverLinesPerSecond };
inline constexpr Event domainEvacuated { 5023, "domain_evacuation", Level::Info,
    "Operators took a failure domain out, or took it back." };
inline constexpr Event recordRefused { 5024, "record_refused", Level::Warning,
    "A record of the store could not be read; it names nothing that is used.", serverLinesPerSecond };
inline constexpr Event peerListed { 5025, "peer_listed", Level::Info, "Another entry VM registered." };
inline constexpr Event peerUnlisted { 5026, "peer_unlisted", Level::Info, "Another entry VM's registration ended." };
inline constexpr Event beliefsComplete { 5027, "beliefs_complete", Level::Info,
    "The store's records have been read as a whole; source says from whom." };
inline constexpr Event storeLost { 5030, "store_lost", Level::Warning,
    "The store does not answer this entry VM; what is known stays in force." };
inline constexpr Event storeRegained { 5031, "store_regained", Level::Info, "The store answers again." };
inline constexpr Event historyGone { 5032, "store_history_gone", Level::Info,
    "The store no longer has the changes asked for; everything is read anew." };
inline constexpr Event registered { 5033, "registered", Level::Info, "This entry VM is listed in the store." };
inline constexpr Event registrationFailed { 5034, "registration_failed", Level::Warning,
    "This entry VM could not be listed, or its lease could not be renewed; it is tried again." };
inline constexpr Event caughtUp { 5035, "caught_up_from_peer", Level::Info,
    "A peer held newer records than the store had told; they were taken over." };
inline constexpr Event peerSilent { 5036, "peer_gave_no_records", Level::Warning,
    "A peer was asked for records and did not give them." };
inline constexpr Event watchBegun { 5037, "store_watch_begun", Level::Info,
    "This entry VM follows the store itself and tells its peers." };
inline constexpr Event watchEnded { 5038, "store_watch_ended", Level::Info,
    "Another entry VM of the failure domain follows the store; this one hears from it." };

/// All events of this area, in the order of their numbers.
inline constexpr std::array all { flowPlaced, flowOffered, flowOpened, flowRefused, flowNeverOpened, requestSeen,
    answerShort, packetMalformed, readinessChanged, leaving, left, processPaused, configurationInForce, serverListed,
    serverUnlisted, domainEvacuated, recordRefused, peerListed, peerUnlisted, beliefsComplete, storeLost, storeRegained,
    historyGone, registered, registrationFailed, caughtUp, peerSilent, watchBegun, watchEnded };

}
