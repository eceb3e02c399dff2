#pragma once

#include <cstdint>
#include <string_view>

namespace Log {

/// Severity of an event.
enum class Level : uint8_t {
    /// Written only while debug events are on.
    Debug,
    Info,
    Warning,
    Error,
};

/// The lower-case name of a level.
constexpr std::string_view toString(Level level)
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return "unknown";
}

/// One kind of log line. The meaning of a number and a name never changes. Numbers: balancerd 1000-1999, proberd
/// 2000-2499, LibControl 3000-3999, operatord 4000-4999, entryd 5000-5999, common to all daemons 9000-9099.
struct Event {
    uint32_t number { 0 };
    /// In snake_case.
    std::string_view name;
    Level level { Level::Info };
    /// One sentence for the reference page.
    std::string_view meaning;
    /// Maximum lines per second; further lines are dropped and counted. 0 means no limit.
    uint32_t linesPerSecond { 0 };
};

}
