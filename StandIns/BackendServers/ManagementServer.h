#pragma once

#include "BackendServer.h"
#include <CivetServer.h>
#include <map>
#include <string>
#include <vector>

namespace StandIn {

/// Overrides the reported health, whatever the actual state.
enum class HealthOverride : uint8_t {
    None,
    AlwaysHealthy,
    AlwaysUnhealthy,
};

/// HTTP management interface of all backend servers of the process, each on its own port chosen by the kernel:
/// GET /health and /load. For tests, GET /lie?healthy, /lie?unhealthy and /lie?none set or clear an override of the
/// reported health.
class ManagementServer : private CivetHandler {
public:
    /// Throws CivetException when the ports cannot be bound.
    explicit ManagementServer(const std::vector<const BackendServer*>&);
    ~ManagementServer() override = default;

    /// Port of each backend server, in the order passed to the constructor.
    std::vector<int> ports() { return server_.getListeningPorts(); }

private:
    struct Target {
        const BackendServer* backendServer { nullptr };
        std::atomic<HealthOverride> healthOverride { HealthOverride::None };
    };

    bool handleGet(CivetServer*, mg_connection*) override;
    static std::string loadResponse(const Target&);

    CivetServer server_;
    std::map<int, Target> targets_;
};

}
