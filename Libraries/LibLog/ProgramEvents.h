#pragma once

/// Events common to all daemons: 9000 to 9099.

#include <LibLog/Event.h>
#include <array>

namespace Log::ProgramEvents {

inline constexpr Event started { 9000, "program_started", Level::Info,
    "The program has read its settings and is starting." };
inline constexpr Event stopping { 9001, "program_stopping", Level::Info,
    "SIGTERM or SIGINT was received; the graceful stop begins." };
inline constexpr Event stopped { 9002, "program_stopped", Level::Info,
    "The program is exiting; code is its exit code." };
inline constexpr Event debugChanged { 9003, "debug_changed", Level::Info, "SIGHUP turned debug events on or off." };
inline constexpr Event reloaded { 9005, "settings_reloaded", Level::Info,
    "SIGHUP was received and the settings file was read again; restart shows whether a change needs a restart." };
inline constexpr Event reloadFailed { 9006, "reload_failed", Level::Warning,
    "SIGHUP was received, but the settings file is invalid; the current settings stay in use." };
inline constexpr Event linesDropped { 9007, "log_lines_dropped", Level::Warning,
    "Log lines were dropped since the last such line; reason: limit (of_event is the limited event) or queue_full." };
inline constexpr Event startFailed { 9004, "start_failed", Level::Error,
    "The program could not start although its settings are valid; error is the reason." };

/// All events common to all daemons.
inline constexpr std::array all { started, stopping, stopped, debugChanged, startFailed, reloaded, reloadFailed,
    linesDropped };

}
