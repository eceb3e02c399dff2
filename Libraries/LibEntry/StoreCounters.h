#pragma once

#include <array>
#include <atomic>
#include <platform/StoreClient.h>
#include <string_view>

namespace Entry {

/// Kinds of calls to the store, for metrics and logs.
enum class StoreCall : uint8_t {
    Read,
    Watch,
    Put,
    Lease,
    Renew,
};
constexpr std::size_t storeCallCount = 5;

constexpr std::string_view toString(StoreCall call)
{
    constexpr std::array<std::string_view, storeCallCount> names { "read", "watch", "put", "lease", "renew" };
    return names[static_cast<std::size_t>(call)];
}

/// Number of calls to the store by kind and outcome since the process started. Any thread.
class StoreCounters {
public:
    void count(StoreCall call, Platform::StoreOutcome outcome)
    {
        totals_[static_cast<std::size_t>(call)][static_cast<std::size_t>(outcome)].fetch_add(
            1, std::memory_order_relaxed);
    }
    uint64_t total(StoreCall call, Platform::StoreOutcome outcome) const
    {
        return totals_[static_cast<std::size_t>(call)][static_cast<std::size_t>(outcome)].load(
            std::memory_order_relaxed);
    }

private:
    std::array<std::array<std::atomic<uint64_t>, Platform::storeOutcomeCount>, storeCallCount> totals_ {};
};

}
