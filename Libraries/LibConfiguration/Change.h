#pragma once

/// Configuration changes, their encoding, and the pure function that applies one. The change log in the platform's
/// store is the sequence of accepted changes; every node that applies it arrives at the same Snapshot.

#include <LibBase/Error.h>
#include <LibConfiguration/Snapshot.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Configuration {

/// Creates or replaces a whole service, including its backend servers. Identifiers of 0 are assigned on apply.
struct PutService {
    Service service;
};

struct RemoveService {
    std::string service;
};

/// Creates or replaces one backend server of a service.
struct PutBackendServer {
    std::string service;
    BackendServer backendServer;
};

struct RemoveBackendServer {
    std::string service;
    std::string backendServer;
};

/// Creates or replaces a failure domain.
struct PutFailureDomain {
    FailureDomain failureDomain;
};

/// Removes a failure domain that no backend server uses.
struct RemoveFailureDomain {
    std::string failureDomain;
};

/// Protects a path against changes that do not list it in their overrides.
struct Protect {
    Protection protection;
};

/// Removes a protection.
struct Unprotect {
    std::string path;
};

using Operation = std::variant<PutService, RemoveService, PutBackendServer, RemoveBackendServer, PutFailureDomain,
    RemoveFailureDomain, Protect, Unprotect>;

/// A field whose value differs between two states. A side is empty if the field does not exist there.
struct Difference {
    std::string path;
    std::optional<std::string> before;
    std::optional<std::string> after;

    bool operator==(const Difference&) const = default;
};

/// An accepted change, stored under changeKey(revision).
struct Change {
    Revision revision;
    /// Idempotency key chosen by the operator's client; a change with the same id takes effect at most once.
    std::string requestId;
    std::string author;
    std::string reason;
    /// Wall-clock time of acceptance at the accepting operator endpoint.
    Base::WallTime acceptedAt {};
    /// The object's changedAt on which the operator based the change; 0 if the object did not exist.
    Revision base;
    /// Paths of the protections that this change overrides.
    std::vector<std::string> overrides;
    Operation operation;
    /// The altered fields, for display only (ignored by apply()); at most maximumRecordedDifferences.
    std::vector<Difference> differences;
    /// Number of altered fields, including those not recorded in differences.
    uint32_t differenceCount { 0 };
};

/// Maximum number of differences recorded in a change.
constexpr std::size_t maximumRecordedDifferences = 64;

/// Values in recorded differences are truncated to this many bytes.
constexpr std::size_t maximumRecordedValueBytes = 256;

/// Returns the path of the object an operation changes, such as "service/rota" or "domain/brum"; for protections, the
/// object that contains the protected path.
std::string objectPath(const Operation&);

/// Returns the snapshot with the change applied. Fails with Conflict if base is not the object's current revision or
/// the change's revision is not the next one; Protected if it alters a field whose protection is neither overridden nor
/// expired; InvalidArgument or OutOfRange if a value is not allowed; NotFound if the object does not exist.
Base::ErrorOr<Snapshot> apply(const Snapshot&, const Change&);

/// Returns the revision an operation must be based on: the last change or removal of its object, or of a protection
/// within the object. 0 if the object never existed.
Revision currentRevision(const Snapshot&, const Operation&);
/// Same, for an object's path ("service/rota").
Revision currentRevision(const Snapshot&, const std::string& objectPath);

/// Like apply(), but in place. On error the snapshot is unchanged.
Base::ErrorOr<void> applyTo(Snapshot&, const Change&);

constexpr std::size_t maximumRequestIdBytes = 64;
constexpr std::size_t maximumAuthorBytes = 128;
constexpr std::size_t maximumReasonBytes = 1024;
/// Maximum number of overrides per change.
constexpr std::size_t maximumOverrides = 256;

/// Returns the store key of a change. A change is accepted by creating the key of its revision.
std::string changeKey(Revision);

/// Returns the store key of the SnapshotManifest.
std::string snapshotManifestKey();

/// Identifies the newest stored snapshot.
struct SnapshotManifest {
    Revision revision;
    uint32_t partCount { 0 };
    /// The snapshot before it. Its parts remain stored for readers that are still loading them.
    Revision previousRevision;
    uint32_t previousPartCount { 0 };
    /// Changes up to this revision may have been replaced by compactedChangeMarker().
    Revision compactedThrough;

    bool operator==(const SnapshotManifest&) const = default;
};

/// Returns the store key of one part of a revision's snapshot.
std::string snapshotPartKey(Revision, uint32_t index);

/// Encodes a manifest as msgpack.
std::string encodeManifest(const SnapshotManifest&);
/// Fails with Malformed if the bytes are not an encoded manifest.
Base::ErrorOr<SnapshotManifest> decodeManifest(std::string_view);

/// Encodes a change as msgpack. Decoding ignores unknown fields, so that versions can be mixed during an upgrade.
std::string encodeChange(const Change&);
/// Returns the value that replaces a change which is retained only in snapshots. The key stays, so that its revision
/// cannot be accepted a second time.
std::string compactedChangeMarker();
/// Returns a hash of an operation, which distinguishes a repeated request from a different one with the same id.
uint64_t digest(const Operation&);
/// Fails with Malformed, or with TooLarge above Store::maximumValueBytes.
Base::ErrorOr<Change> decodeChange(std::string_view);

/// Encodes a snapshot as independent parts of at most partBytes each, in the order in which a joining node needs them.
/// Every part contains the snapshot's revision, its index and the number of parts.
std::vector<std::string> encodeSnapshot(const Snapshot&, std::size_t partBytes);
/// Fails with Malformed if parts are missing, repeated or of different revisions.
Base::ErrorOr<Snapshot> decodeSnapshot(const std::vector<std::string>& parts);

}
