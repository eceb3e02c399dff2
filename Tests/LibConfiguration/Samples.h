#pragma once

/// Small sample configurations and changes for tests.

#include <LibBase/Verify.h>
#include <LibConfiguration/Change.h>

namespace Configuration {

/// Returns a backend server whose name and endpoints are derived from a number.
inline BackendServer sampleBackendServer(uint32_t number, const std::string& failureDomain = "brum")
{
    return { .name = "rota-" + std::to_string(number),
        .failureDomain = failureDomain,
        .tunnel = { { 0x0A000000 + number }, 6080 },
        .management = { { 0x0A000000 + number }, 8080 } };
}

/// Returns a service with one address and one port class.
inline Service sampleService(const std::string& name = "rota", uint32_t backendServers = 2, uint32_t address = 1)
{
    Service service { .name = name, .addresses = { { 0xC6336400 + address } } };
    service.portClasses.push_back({ .name = "view", .port = 8001 });
    for (uint32_t i = 1; i <= backendServers; ++i)
        service.backendServers.push_back(sampleBackendServer(i));
    return service;
}

/// Returns a failure domain in state In.
inline FailureDomain sampleDomain(const std::string& name = "brum") { return { .name = name, .region = "midlands" }; }

/// Returns the change that follows a snapshot, based on the object's current revision.
inline Change nextChange(const Snapshot& snapshot, Operation operation)
{
    const auto revision = Revision { snapshot.revision.value + 1 };
    const auto base = currentRevision(snapshot, operation);
    return { .revision = revision,
        .requestId = "request-" + std::to_string(revision.value),
        .author = "ada",
        .reason = "test",
        .acceptedAt = Base::WallTime(Base::seconds(1000 + revision.value)),
        .base = base,
        .overrides = {},
        .operation = std::move(operation) };
}

/// Returns the snapshot after one more operation, which must be valid.
inline Snapshot applied(const Snapshot& snapshot, Operation operation)
{
    auto outcome = Base::capture([&] { return apply(snapshot, nextChange(snapshot, std::move(operation))); });
    VERIFY(outcome.isOk());
    return *outcome.value;
}

/// Returns a snapshot with sampleDomain() and sampleService().
inline Snapshot sampleSnapshot()
{
    return applied(applied({}, PutFailureDomain { sampleDomain() }), PutService { sampleService() });
}

/// Returns a change as submitted by an operator. The number determines the request id.
inline Change submittedChange(Operation operation, Revision base, std::size_t number)
{
    return { .requestId = "wish-" + std::to_string(number),
        .author = "ada",
        .reason = "test",
        .base = base,
        .operation = std::move(operation) };
}

}
