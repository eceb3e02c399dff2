#include "ManagementServer.h"

#include <nlohmann/json.hpp>

namespace StandIn {

static std::vector<std::string> serverOptions(std::size_t ports)
{
    std::string list;
    for (std::size_t index = 0; index < ports; ++index)
        list += index == 0 ? "127.0.0.1:0" : ",127.0.0.1:0";
    return { "listening_ports", list, "num_threads", "4", "tcp_nodelay", "1" };
}

ManagementServer::ManagementServer(const std::vector<const BackendServer*>& backendServers)
    : server_(serverOptions(backendServers.size()))
{
    const auto boundPorts = ports();
    for (std::size_t index = 0; index < backendServers.size(); ++index)
        targets_[boundPorts.at(index)].backendServer = backendServers[index];
    server_.addHandler("/", this);
}

std::string ManagementServer::loadResponse(const Target& target)
{
    const auto& load = target.backendServer->load();
    const auto healthOverride = target.healthOverride.load();
    return nlohmann::json {
        { "healthy", healthOverride != HealthOverride::AlwaysUnhealthy },
        { "slots_in_use", healthOverride == HealthOverride::AlwaysHealthy ? 0U : load.slotsInUse.load() },
        { "connections", load.connections.load() },
        { "start_token", load.startToken.load() },
    }
        .dump();
}

bool ManagementServer::handleGet(CivetServer*, mg_connection* connection)
{
    const auto* request = mg_get_request_info(connection);
    const auto found = targets_.find(request->server_port);
    if (found == targets_.end())
        return false;
    if (std::string_view(request->local_uri) == "/lie") {
        const std::string_view kind = request->query_string != nullptr ? request->query_string : "none";
        found->second.healthOverride = kind == "healthy" ? HealthOverride::AlwaysHealthy
            : kind == "unhealthy"                        ? HealthOverride::AlwaysUnhealthy
                                                         : HealthOverride::None;
    }
    const auto text = loadResponse(found->second);
    mg_send_http_ok(connection, "application/json", static_cast<long long>(text.size()));
    mg_write(connection, text.data(), text.size());
    return true;
}

}
