#pragma once

/// Requests to the platform's key-value service and their responses, as plain values for the decision libraries. A
/// daemon sends them through StoreClient; tests use a fake.

#include <LibBase/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Store {

/// Version of a key's value; 0 if the key is absent. Increases by one with each write of the key, also across
/// deletions.
using KeyVersion = uint64_t;

/// Identifies a lease granted by the store; 0 for no lease.
using LeaseId = uint64_t;

/// Reads a key.
struct Get {
    std::string key;
};

/// Writes a key if its version equals the expected one (0: if the key is absent).
struct CompareAndSwap {
    std::string key;
    KeyVersion expected { 0 };
    std::string value;
    /// The key is deleted when this lease ends; 0 for no lease.
    LeaseId lease { 0 };
};

/// Deletes a key if its version equals the expected one.
struct CompareAndDelete {
    std::string key;
    KeyVersion expected { 0 };
};

/// Waits until the key's version differs from the known one, or until the timeout. The store counts it as one call.
struct Watch {
    std::string key;
    KeyVersion known { 0 };
    Base::milliseconds timeout { 30'000 };
};

/// Requests a new lease.
struct GrantLease {
    Base::milliseconds duration { 10'000 };
};

/// Extends a lease by its duration from now.
struct RenewLease {
    LeaseId lease { 0 };
};

/// Ends a lease and deletes its keys.
struct RevokeLease {
    LeaseId lease { 0 };
};

using Request = std::variant<Get, CompareAndSwap, CompareAndDelete, Watch, GrantLease, RenewLease, RevokeLease>;

/// Result of a request.
enum class Status : uint8_t {
    Ok,
    /// CompareAndSwap or CompareAndDelete: the key's version differs; the answer contains its current version and
    /// value.
    VersionMismatch,
    /// Get: no such key. RenewLease, RevokeLease, CompareAndSwap: no such lease.
    NotFound,
    /// Watch: no change within the timeout.
    Unchanged,
    /// The value is larger than maximumValueBytes.
    TooLarge,
    /// No response: a write may or may not have taken effect.
    Unknown,
    /// The request had no effect: the store refused it (overload) or was unreachable.
    Unavailable,
};

/// The response to a request.
struct Answer {
    Status status { Status::Unknown };
    /// The key's current version (Get, CompareAndSwap, Watch, VersionMismatch).
    KeyVersion version { 0 };
    /// The key's current value (Get, Watch, VersionMismatch).
    std::string value;
    /// The new or renewed lease (GrantLease, RenewLease).
    LeaseId lease { 0 };
};

/// Identifies a pending request; chosen by the sender and unique among its requests.
using RequestId = uint64_t;

/// Largest value that the store accepts.
constexpr std::size_t maximumValueBytes = 1'000'000;

}
