#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/StrongId.h>

namespace Base {

struct ServiceTag;
struct BackendServerTag;
struct RevisionTag;

/// Identifies a service. Assigned when the service is created and never reused after its removal.
using ServiceId = StrongId<ServiceTag, uint32_t>;

/// Identifies a backend server. Assigned when the backend server is created and never reused after its removal.
using BackendServerId = StrongId<BackendServerTag, uint32_t>;

/// The sequence number of an accepted change in the total order of all changes. Zero is the empty configuration.
using Revision = StrongId<RevisionTag, uint64_t>;

/// Identifies an entry VM by its packed control endpoint (see Ipv4Endpoint::packed()), so that the id is sufficient to
/// connect to it.
struct EntryVmId {
    uint64_t value { 0 };

    auto operator<=>(const EntryVmId&) const = default;
    bool isValid() const { return value != 0; }
    /// The control endpoint of the entry VM.
    Ipv4Endpoint endpoint() const { return Ipv4Endpoint::fromPacked(value); }
    static EntryVmId fromEndpoint(const Ipv4Endpoint& endpoint) { return { endpoint.packed() }; }
};

}

template <>
struct std::hash<Base::EntryVmId> {
    std::size_t operator()(const Base::EntryVmId& id) const noexcept { return Base::mix(id.value); }
};
