#pragma once

/// Report that entry VMs send each other several times a second: the requests that the sender has in flight at each
/// backend server, and the store revision that it holds.

#include <LibBase/Error.h>
#include <LibBase/Identifiers.h>
#include <LibSteering/FlowToken.h>
#include <cstddef>
#include <span>
#include <vector>

namespace Steering {

struct ServerLoad {
    BackendServerNumber number;
    uint32_t inFlight { 0 };
};

/// Whether the store responds to the sender of a report.
enum class StoreView : uint8_t {
    /// The sender does not watch the store itself.
    NotWatching,
    Responding,
    Unresponsive,
};

struct LoadReport {
    Base::EntryVmId sender;
    /// Increases with each report, also across restarts of the sender.
    uint64_t sequence { 0 };
    /// The store revision that the sender holds.
    uint64_t revision { 0 };
    StoreView store { StoreView::NotWatching };
    /// Servers with requests in flight; all others have none.
    std::vector<ServerLoad> loads;
};

/// Encodes the report as msgpack.
std::vector<std::byte> encodeLoadReport(const LoadReport&);
/// Returns ErrorCode::Malformed if the bytes are not a valid report.
Base::ErrorOr<LoadReport> decodeLoadReport(std::span<const std::byte>);

}
