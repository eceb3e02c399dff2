#pragma once

/// Report that entry VMs send each other several times a second: the requests that the sender has in flight at each
/// backend server, its demand for room, what it has learned about single servers, and the store revision that it holds.

#include <LibBase/Error.h>
#include <LibBase/Hash.h>
#include <LibBase/Identifiers.h>
#include <LibBase/StorePosition.h>
#include <LibBase/Time.h>
#include <LibSteering/FlowToken.h>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace Steering {

struct ServerLoad {
    BackendServerNumber number;
    uint32_t inFlight { 0 };
};

/// Identifies a service in reports; a hash of its name, the same on every node.
struct ServiceKey {
    uint64_t value { 0 };

    auto operator<=>(const ServiceKey&) const = default;
    static ServiceKey of(std::string_view name) { return { Base::hashText(name) }; }
};

/// The room that a node needs at a service whose room is short.
struct ServiceDemand {
    ServiceKey service;
    /// Requests in flight, waiting or rejected for lack of room, as a mean of concurrent ones.
    uint32_t requests { 0 };
};

/// A backend server whose service time differs from that of its service.
struct ServerSpeed {
    BackendServerNumber number;
    /// Service time in thousandths of that of the median server of its service. Relative, since the requests that
    /// entry VMs see differ in work.
    uint32_t relativeThousandths { 1000 };
};

/// Whether the store responds to the sender of a report.
enum class StoreView : uint8_t {
    /// The sender does not watch the store itself.
    NotWatching,
    Responding,
    /// Calls of the sender fail repeatedly.
    Unresponsive,
    /// The sender waits for an answer that should have arrived, or has not been answered in time since.
    Overdue,
};

struct LoadReport {
    Base::EntryVmId sender;
    /// Increases with each report, also across restarts of the sender.
    uint64_t sequence { 0 };
    /// The position of the store up to which the sender holds records.
    Base::StorePosition position;
    StoreView store { StoreView::NotWatching };
    /// Servers with requests in flight; all others have none.
    std::vector<ServerLoad> loads;
    /// Services whose room is short; empty while there is room.
    std::vector<ServiceDemand> demands;
    /// Servers whose service time the sender has measured and found to differ; all others are like their service.
    std::vector<ServerSpeed> speeds;
    /// Servers that went silent while the store could not tell whether they started again.
    std::vector<BackendServerNumber> possiblyRestarted;
};

/// Encodes the report as msgpack.
std::vector<std::byte> encodeLoadReport(const LoadReport&);
/// Returns ErrorCode::Malformed if the bytes are not a valid report.
Base::ErrorOr<LoadReport> decodeLoadReport(std::span<const std::byte>);

}
