#pragma once

/// Numbered log events on standard output, one JSON object per line. No log file is written, since entry VMs have no
/// disk. Any thread may write without blocking: a separate thread prints, and lines that do not fit into its queue are
/// dropped, counted and logged as a number.

#include <LibBase/Time.h>
#include <LibLog/Event.h>
#include <LibLog/Fields.h>
#include <string>
#include <string_view>

namespace Log {

/// Sets up logging; must be called once before the first event. Debug events are off.
void initialize(std::string_view programName);

/// Starts the printing thread. Before that, events are printed by the writing thread.
void startPrintThread();
/// Waits until all lines are printed. Returns false if standard output did not accept them within the given time.
bool flush(Base::milliseconds atMost);

/// Turns debug events on or off.
void setDebug(bool enabled);
/// Whether debug events are written.
bool isDebugEnabled();

/// Number of lines dropped since the process started, because of an event's limit or a full queue.
uint64_t droppedLines();

/// Logs an event with its fields.
void write(const Event&, const Fields& = {});

/// Formats an event without time and program: "level":"info","event":1203,"name":"flow_refused","reason":"no_room".
std::string format(const Event&, const Fields&);

}
