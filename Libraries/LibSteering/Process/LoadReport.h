#pragma once

/// What entry VMs tell each other several times a second: the work in progress that each has placed on each backend
/// server, and how far its copy of the store reaches.

#include <LibBase/Error.h>
#include <LibBase/Identifiers.h>
#include <LibSteering/FlowToken.h>
#include <cstddef>
#include <span>
#include <vector>

namespace Steering {

struct ServerLoad {
    BackendServerNumber number;
    uint32_t inProgress { 0 };
};

/// What the sender of a report knows of the store first-hand.
enum class StoreView : uint8_t {
    /// It does not follow the store itself.
    NotWatching,
    Answers,
    Silent,
};

struct LoadReport {
    Base::EntryVmId sender;
    /// Grows with each start of the sender and with each report.
    uint64_t sequence { 0 };
    /// The store's revision that the sender holds.
    uint64_t revision { 0 };
    StoreView store { StoreView::NotWatching };
    /// Servers with work in progress; all others have none.
    std::vector<ServerLoad> loads;
};

/// msgpack.
std::vector<std::byte> encodeLoadReport(const LoadReport&);
/// Malformed.
Base::ErrorOr<LoadReport> decodeLoadReport(std::span<const std::byte>);

}
