#pragma once

#include <cstdint>
#include <string_view>

namespace Log {

/// How much an operator should care.
enum class Level : uint8_t {
    /// Written only while debug logging is on.
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

/// One kind of log line. Numbers and names never change their meaning: balancerd 1000-1999, proberd 2000-2499, the
/// control library 3000-3999, operatord 4000-4999, entryd 5000-5999, frame of all programs 9000-9099.
struct Event {
    uint32_t number { 0 };
    /// snake_case.
    std::string_view name;
    Level level { Level::Info };
    /// One line for the catalogue.
    std::string_view meaning;
    /// Most lines a second; further ones are counted and left out. 0: no limit of its own.
    uint32_t linesPerSecond { 0 };
};

}
