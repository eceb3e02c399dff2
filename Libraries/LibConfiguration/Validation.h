#pragma once

/// Validates the values submitted by operators, field by field. Each error contains the field's path and the expected
/// value. All functions fail with InvalidArgument or OutOfRange.

#include <LibBase/Error.h>
#include <LibConfiguration/Change.h>

namespace Configuration {

/// Limits per service.
constexpr std::size_t maximumAddresses = 256;
constexpr std::size_t maximumPortClasses = 64;
constexpr std::size_t maximumBackendServers = 4096;

Base::ErrorOr<void> validatePortClass(const std::string& path, const PortClass&);
Base::ErrorOr<void> validateBackendServer(const std::string& path, const BackendServer&);
/// Also rejects duplicate names, ports, addresses and tunnel endpoints.
Base::ErrorOr<void> validateService(const Service&);
Base::ErrorOr<void> validateFailureDomain(const FailureDomain&);
/// Validates request id, author, reason and overrides.
Base::ErrorOr<void> validateAttribution(const Change&);

}
