#pragma once

#include <chrono>

namespace Base {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// A point in monotonic time. The libraries with decision logic never read a clock: the caller passes the time with
/// each event, from the steady clock in a daemon, and as virtual time in tests.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, nanoseconds>;

/// A point in wall-clock time (UTC), for records that outlive a process or are shown to operators.
using WallTime = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// Converts a duration to floating-point seconds, for rates and metrics.
inline double toSeconds(nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

}
