#pragma once

/// The status that a balancer reports on the Query channel.

#include <LibBase/Error.h>
#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>
#include <map>
#include <string>
#include <vector>

namespace Peer {

/// A balancer's configuration status and statistics.
struct NodeStatus {
    Base::EntryVmId self;
    uint64_t incarnation { 0 };
    std::string failureDomain;
    /// The configuration in force on this balancer; invalid if it has none.
    Base::Revision revision;
    /// What confirmed the configuration ("none", "store", "peers" or "held"), and how long ago it was last confirmed.
    std::string evidence;
    Base::milliseconds evidenceAge { 0 };
    /// The newest revision known to this balancer. inForce, total and missing are its view of how many of
    /// all entry VMs have it in force, and which ones don't.
    Base::Revision newestRevision;
    uint32_t inForce { 0 };
    uint32_t total { 0 };
    std::vector<Base::EntryVmId> missing;
    bool leaving { false };
    /// Statistics by metric name, for example "flows" or "refused.no_room".
    std::map<std::string, uint64_t> figures;
};

/// Encodes as msgpack.
std::vector<std::byte> encodeNodeStatus(const NodeStatus&);
/// Returns ErrorCode::Malformed if the bytes are not a valid status.
Base::ErrorOr<NodeStatus> decodeNodeStatus(std::span<const std::byte>);

}
