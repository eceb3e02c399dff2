#pragma once

/// Numbered log events on standard output, one JSON object a line. No log file is ever written: entry VMs have no disk.
/// Any thread may write; nobody waits: a thread of its own prints, and what does not fit is counted and reported.

#include <LibBase/Time.h>
#include <LibLog/Event.h>
#include <LibLog/Fields.h>
#include <string>
#include <string_view>

namespace Log {

/// Prepares logging for this process; call once, before the first event. Debug events are off.
void initialize(std::string_view programName);

/// Starts the printing thread. Until then, events are printed by the thread that writes them.
void startPrinting();
/// Waits until everything is printed; false when standard output did not take it in time.
bool flush(Base::milliseconds atMost);

/// Turns debug events on or off.
void setDebug(bool enabled);
/// Whether debug events are written.
bool isDebugEnabled();

/// Lines that were left out since the start, because of an event's limit or because the queue was full.
uint64_t droppedLines();

/// Writes one event with its fields.
void write(const Event&, const Fields& = {});

/// The text of an event without time and program: "level":"info","event":1203,"name":"flow_refused","reason":"no_room".
std::string format(const Event&, const Fields&);

}
