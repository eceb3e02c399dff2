#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Control {

constexpr std::size_t messageKindCount = 6;

/// Counters of a control node since its creation. Arrays are indexed by MessageKind.
struct ControlStatistics {
    std::array<uint64_t, messageKindCount> sentBytes {};
    std::array<uint64_t, messageKindCount> sentMessages {};
    std::array<uint64_t, messageKindCount> receivedBytes {};
    std::array<uint64_t, messageKindCount> receivedMessages {};
    /// Messages that exceeded the byte budget and were deferred or dropped, by kind.
    std::array<uint64_t, messageKindCount> overBudgetMessages {};
    /// Messages rejected as malformed or too large.
    uint64_t malformedMessages { 0 };
    /// Messages rejected because of an older lease epoch.
    uint64_t fencedMessages { 0 };
    /// Messages rejected because of an older incarnation of the sender.
    uint64_t staleMessages { 0 };
    uint64_t changesApplied { 0 };
    /// Changes that could not be applied.
    uint64_t changesRefused { 0 };
    /// Changes received again after they had been applied.
    uint64_t changesAlreadyApplied { 0 };
    uint64_t snapshotsInstalled { 0 };
    uint64_t storeReads { 0 };
    uint64_t storeWrites { 0 };
    /// Store calls without a response within their timeout.
    uint64_t storeTimeouts { 0 };
    /// Store calls rejected by the circuit breaker or the call budget.
    uint64_t storeCallsRejected { 0 };
    uint64_t leasesAcquired { 0 };
    uint64_t leasesLost { 0 };
    uint64_t suspicionsRaised { 0 };
    uint64_t suspicionsRefuted { 0 };
    uint64_t membersRemoved { 0 };
    uint64_t pausesDetected { 0 };
};

}
