#pragma once

/// Encodes model objects as positional msgpack records (see RecordReader.h). Identifiers and numbers are unsigned,
/// times are milliseconds since the epoch, endpoints are packed as in Base::Ipv4Endpoint.

#include <LibBase/Error.h>
#include <LibConfiguration/Snapshot.h>
#include <nlohmann/json.hpp>

namespace Configuration {

/// Returns the milliseconds since the epoch; 0 for earlier times.
uint64_t toMilliseconds(Base::WallTime);
/// The inverse of toMilliseconds.
Base::WallTime fromMilliseconds(std::chrono::milliseconds);

nlohmann::json toRecord(const PortClass&);
nlohmann::json toRecord(const BackendServer&);
nlohmann::json toRecord(const Service&);
nlohmann::json toRecord(const FailureDomain&);
nlohmann::json toRecord(const Protection&);
nlohmann::json toRecord(const AcceptedRequest&);

/// Fail with Malformed if a field has the wrong type or does not fit its C++ type. Values are validated elsewhere
/// (Validation.h).
Base::ErrorOr<PortClass> portClassFromRecord(const nlohmann::json&);
Base::ErrorOr<BackendServer> backendServerFromRecord(const nlohmann::json&);
Base::ErrorOr<Service> serviceFromRecord(const nlohmann::json&);
Base::ErrorOr<FailureDomain> failureDomainFromRecord(const nlohmann::json&);
Base::ErrorOr<Protection> protectionFromRecord(const nlohmann::json&);
Base::ErrorOr<AcceptedRequest> acceptedRequestFromRecord(const nlohmann::json&);

}
