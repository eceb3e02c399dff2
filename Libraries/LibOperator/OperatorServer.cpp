#include <LibOperator/OperatorServer.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

namespace Operator {

namespace {

    /// Exceeds the default time limit of one change (5 s), so that calls in progress complete before they are
    /// cancelled.
    constexpr Base::seconds shutdownTimeout { 8 };
    /// Large enough for a plan request that covers a full configuration at the target deployment size.
    constexpr int maximumMessageBytes = 16'000'000;

    std::shared_ptr<grpc::ServerCredentials> serverCredentials(const TlsMaterial& tls)
    {
        if (tls.certificate.empty())
            return grpc::InsecureServerCredentials();
        grpc::SslServerCredentialsOptions options(tls.callerAuthorities.empty()
                ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
                : GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
        options.pem_root_certs = tls.callerAuthorities;
        options.pem_key_cert_pairs.push_back({ tls.privateKey, tls.certificate });
        return grpc::SslServerCredentials(options);
    }

}

OperatorServer::OperatorServer(const Options& options)
    : acceptor_(options.acceptor)
    , service_(acceptor_, options.service)
{
}

Base::ErrorOr<std::unique_ptr<OperatorServer>> OperatorServer::create(const Options& options)
{
    if (options.tls.certificate.empty() != options.tls.privateKey.empty())
        return Base::makeError(Base::ErrorCode::InvalidArgument, "tls: expected a certificate and its private key");
    if (options.tls.certificate.empty() && !options.tls.callerAuthorities.empty())
        return Base::makeError(
            Base::ErrorCode::InvalidArgument, "tls: caller authorities require a certificate and its private key");
    auto server = std::unique_ptr<OperatorServer>(new OperatorServer(options));
    int port = 0;
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(options.maximumThreads);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(maximumMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(options.listen.toString(), serverCredentials(options.tls), &port);
    builder.RegisterService(&server->service_);
    server->server_ = builder.BuildAndStart();
    if (!server->server_ || port == 0)
        return Base::makeError(
            Base::ErrorCode::Unavailable, options.listen.toString() + ": cannot listen on this address");
    server->endpoint_ = { options.listen.address, static_cast<uint16_t>(port) };
    return server;
}

OperatorServer::~OperatorServer()
{
    if (server_)
        server_->Shutdown(std::chrono::system_clock::now() + shutdownTimeout);
}

}
