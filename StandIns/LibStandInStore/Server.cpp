#include <LibStandInStore/Server.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

namespace StandInStore {

namespace {

    constexpr int threadLimit = 300;
    constexpr int messageSizeLimit = 2 * static_cast<int>(Store::maximumValueBytes);

}

Server::Server(uint64_t seed)
    : platform_(seed)
    , keyValue_(platform_)
    , vmList_(platform_)
    , control_(platform_)
{
}

Base::ErrorOr<std::unique_ptr<Server>> Server::create(const Base::Ipv4Endpoint& endpoint, uint64_t seed)
{
    auto server = std::unique_ptr<Server>(new Server(seed));
    int port = 0;
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(threadLimit);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(messageSizeLimit);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(endpoint.toString(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&server->keyValue_);
    builder.RegisterService(&server->vmList_);
    builder.RegisterService(&server->control_);
    server->server_ = builder.BuildAndStart();
    if (!server->server_ || port == 0)
        return Base::makeError(Base::ErrorCode::Unavailable, endpoint.toString() + ": cannot listen");
    server->endpoint_ = { endpoint.address, static_cast<uint16_t>(port) };
    return server;
}

Server::~Server()
{
    platform_.stop();
    if (server_)
        server_->Shutdown(std::chrono::system_clock::now());
}

}
