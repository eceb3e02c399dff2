#include "Work.h"

#include <sstream>

namespace StandIn {

std::string encodeRequest(const WorkRequest& request)
{
    return "REQ " + std::to_string(request.id) + ' ' + request.service + ' ' + request.portClass + ' '
        + (request.idempotent ? "1" : "0") + '\n';
}

std::optional<WorkRequest> decodeRequest(std::string_view line)
{
    std::istringstream stream { std::string(line) };
    std::string tag;
    WorkRequest request;
    if (!(stream >> tag >> request.id >> request.service >> request.portClass >> request.idempotent) || tag != "REQ")
        return std::nullopt;
    return request;
}

static std::string responseBody(uint64_t id)
{
    return std::string(responseBodyBytes, static_cast<char>('a' + id % 26));
}

std::string encodeResponse(const WorkResponse& response, bool isBodyOmitted)
{
    std::string text
        = "ANS " + std::to_string(response.id) + ' ' + response.backendServer + ' ' + response.failureDomain;
    if (!isBodyOmitted)
        text += ' ' + responseBody(response.id);
    return text + '\n';
}

std::optional<WorkResponse> decodeResponse(std::string_view line, bool isBodyOmitted)
{
    std::istringstream stream { std::string(line) };
    std::string tag;
    WorkResponse response;
    if (!(stream >> tag >> response.id >> response.backendServer >> response.failureDomain) || tag != "ANS")
        return std::nullopt;
    std::string body;
    if (!isBodyOmitted && (!(stream >> body) || body != responseBody(response.id)))
        return std::nullopt;
    return response;
}

std::optional<std::string> extractLine(std::string& buffer)
{
    const auto end = buffer.find('\n');
    if (end == std::string::npos)
        return std::nullopt;
    auto line = buffer.substr(0, end);
    buffer.erase(0, end + 1);
    return line;
}

}
