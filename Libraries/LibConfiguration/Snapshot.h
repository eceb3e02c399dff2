#pragma once

#include <LibConfiguration/Model.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Configuration {

/// A request whose change was accepted, kept so that a repeated request gets the original outcome.
struct AcceptedRequest {
    std::string requestId;
    Revision revision;
    /// Wall-clock time of acceptance; entries older than requestDeduplicationWindow are dropped.
    Base::WallTime acceptedAt {};
    /// digest() of its operation, see Change.h.
    uint64_t digest { 0 };

    bool operator==(const AcceptedRequest&) const = default;
};

/// How long a repeated request id gets its original outcome.
constexpr std::chrono::hours requestDeduplicationWindow { 6 };

/// Maximum number of requests kept. The oldest are dropped first, which bounds the list even if endpoint clocks are
/// wrong.
constexpr std::size_t maximumAcceptedRequests = 8192;

/// The whole configuration at one revision. Immutable once published; shared between threads as SnapshotPointer.
struct Snapshot {
    /// Revision of the last change applied.
    Revision revision;
    /// Wall-clock time at which that change was accepted; never decreases.
    Base::WallTime acceptedAt {};
    std::map<std::string, Service> services;
    std::map<std::string, FailureDomain> failureDomains;
    std::vector<Protection> protections;
    /// Revisions at which objects were removed, by path ("service/rota", "domain/brum").
    std::map<std::string, Revision> tombstones;
    /// The next identifiers to assign; part of the configuration, so that all nodes assign the same ones.
    uint32_t nextServiceId { 1 };
    uint32_t nextBackendServerId { 1 };
    /// Requests accepted within requestDeduplicationWindow, oldest first; at most maximumAcceptedRequests.
    std::vector<AcceptedRequest> requests;

    bool operator==(const Snapshot&) const = default;

    /// Returns nullptr if there is no such service.
    const Service* findService(ServiceId) const;
    const Service* findService(const std::string& name) const;
    /// Returns the newest accepted request with this id, or nullptr.
    const AcceptedRequest* findRequest(const std::string& requestId) const;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

}
