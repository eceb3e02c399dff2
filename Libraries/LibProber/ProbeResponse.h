#pragma once

#include <LibBase/Error.h>
#include <cstdint>
#include <string_view>

namespace Prober {

/// What a backend server reports in /health or /load. /health may leave out all but "healthy".
struct ProbeResponse {
    bool healthy { false };
    uint32_t slotsInUse { 0 };
    uint32_t connections { 0 };
    /// Changes when the server's process restarts; 0 if not reported.
    uint64_t startToken { 0 };
};

/// Maximum size of an accepted response in bytes.
constexpr std::size_t maximumResponseBytes = 4096;

/// Parses {"healthy": bool, "slots_in_use": n, "connections": n, "start_token": n}; unknown fields are ignored.
/// Returns TooLarge for long or nested texts, OutOfRange for numbers that do not fit, Malformed for anything else.
Base::ErrorOr<ProbeResponse> parseProbeResponse(std::string_view);

}
