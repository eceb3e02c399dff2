#pragma once

/// Text protocol between callers and backend servers inside a flow: requests and responses, one per line.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace StandIn {

/// A request of a caller.
struct WorkRequest {
    /// Unique across all callers.
    uint64_t id { 0 };
    std::string service;
    std::string portClass;
    bool idempotent { false };
};

/// Header of a response; over TCP a body of responseBodyBytes follows on the same line.
struct WorkResponse {
    uint64_t id { 0 };
    std::string backendServer;
    std::string failureDomain;
};

/// Body length in bytes; larger than one TCP segment, so that a response spans several packets.
constexpr std::size_t responseBodyBytes = 2500;

/// "REQ id service class idempotent\n"
std::string encodeRequest(const WorkRequest&);
std::optional<WorkRequest> decodeRequest(std::string_view line);
/// "ANS id server domain body\n"; the body is omitted for UDP.
std::string encodeResponse(const WorkResponse&, bool isBodyOmitted);
std::optional<WorkResponse> decodeResponse(std::string_view line, bool isBodyOmitted);

/// Removes the first complete line from the buffer and returns it without its line end; nullopt if there is none.
std::optional<std::string> extractLine(std::string& buffer);

}
