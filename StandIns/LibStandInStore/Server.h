#pragma once

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibStandInStore/ControlService.h>
#include <LibStandInStore/KeyValueService.h>
#include <grpcpp/server.h>
#include <memory>

namespace StandInStore {

/// The gRPC server of the stand-in, with all services on one endpoint.
class Server {
public:
    /// Port 0: chosen by the kernel. Returns ErrorCode::Unavailable if the endpoint cannot be bound.
    static Base::ErrorOr<std::unique_ptr<Server>> create(const Base::Ipv4Endpoint&, uint64_t seed);
    ~Server();

    const Base::Ipv4Endpoint& endpoint() const { return endpoint_; }
    /// State behind the services, for tests in the same process.
    Platform& platform() { return platform_; }

private:
    explicit Server(uint64_t seed);

    Platform platform_;
    KeyValueService keyValue_;
    VmListService vmList_;
    ControlService control_;
    std::unique_ptr<grpc::Server> server_;
    Base::Ipv4Endpoint endpoint_;
};

}
