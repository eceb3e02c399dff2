#pragma once

/// Events of the frame that all programs share: 9000 to 9099.

#include <LibLog/Event.h>
#include <array>

namespace Log::ProgramEvents {

inline constexpr Event started { 9000, "program_started", Level::Info,
    "The program has read its settings and starts." };
inline constexpr Event stopping { 9001, "program_stopping", Level::Info,
    "SIGTERM or SIGINT was received; the graceful stop begins." };
inline constexpr Event stopped { 9002, "program_stopped", Level::Info, "The program ends; code is its exit code." };
inline constexpr Event debugChanged { 9003, "debug_changed", Level::Info, "SIGHUP turned debug events on or off." };
inline constexpr Event reloaded { 9005, "settings_reloaded", Level::Info,
    "SIGHUP was received and the settings file was read again; restart tells whether some of it needs a restart." };
inline constexpr Event reloadFailed { 9006, "reload_failed", Level::Warning,
    "SIGHUP was received, but the settings file is wrong; the settings in use stay." };
inline constexpr Event linesDropped { 9007, "log_lines_dropped", Level::Warning,
    "Log lines were left out since the last such line; reason: limit (of_event tells which) or queue_full." };
inline constexpr Event startFailed { 9004, "start_failed", Level::Error,
    "The program could not start with settings that are valid in themselves; error says why." };

/// All events of this area, in the order of their numbers.
inline constexpr std::array all { started, stopping, stopped, debugChanged, startFailed, reloaded, reloadFailed,
    linesDropped };

}
