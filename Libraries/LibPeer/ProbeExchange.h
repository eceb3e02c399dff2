#pragma once

/// Payloads of the Probe channel: the prober sends reports, and its balancer responds with the targets to probe.

#include <LibBase/Error.h>
#include <LibBase/Identifiers.h>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Peer {

/// Result of a probe of a backend server.
struct ProbeReport {
    Base::BackendServerId backendServer;
    bool healthy { false };
    uint32_t slotsInUse { 0 };
    uint32_t connections { 0 };
    /// Changes when the server's process restarts; 0 if not reported.
    uint64_t startToken { 0 };
    /// Age of the probe result when the report is sent, in milliseconds.
    uint32_t ageMs { 0 };
};

/// A backend server to probe.
struct ProbeTarget {
    Base::BackendServerId backendServer;
    Base::Ipv4Endpoint management;
};

/// Encodes as msgpack.
std::vector<std::byte> encodeProbeReports(const std::vector<ProbeReport>&);
/// Returns ErrorCode::Malformed if the bytes are not a valid list.
Base::ErrorOr<std::vector<ProbeReport>> decodeProbeReports(std::span<const std::byte>);
/// Encodes as msgpack.
std::vector<std::byte> encodeProbeTargets(const std::vector<ProbeTarget>&);
/// Returns ErrorCode::Malformed if the bytes are not a valid list.
Base::ErrorOr<std::vector<ProbeTarget>> decodeProbeTargets(std::span<const std::byte>);

}
