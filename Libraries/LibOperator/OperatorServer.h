#pragma once

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibOperator/OperatorService.h>
#include <grpcpp/server.h>
#include <memory>
#include <string>

namespace Operator {

/// TLS credentials of the endpoint, PEM-encoded. If all are empty, calls are not encrypted.
struct TlsMaterial {
    /// The endpoint's certificate chain.
    std::string certificate;
    std::string privateKey;
    /// Certificate authorities that caller certificates are verified against. If empty, no caller certificate is
    /// requested.
    std::string callerAuthorities;
};

/// The operators' gRPC server.
class OperatorServer {
public:
    struct Options {
        /// With port 0 the kernel assigns a port; see endpoint().
        Base::Ipv4Endpoint listen;
        TlsMaterial tls;
        /// Upper limit of gRPC threads that execute calls.
        int maximumThreads { 64 };
        AcceptorThread::Options acceptor;
        OperatorService::Options service;
    };

    /// Starts the server. Returns ErrorCode::Unavailable if it cannot listen on the address, and
    /// ErrorCode::InvalidArgument if the TLS material is incomplete.
    static Base::ErrorOr<std::unique_ptr<OperatorServer>> create(const Options&);
    /// Stops accepting calls, then waits up to 8 s for calls in progress before it cancels them.
    ~OperatorServer();

    /// The address and port on which the server listens.
    const Base::Ipv4Endpoint& endpoint() const { return endpoint_; }

private:
    explicit OperatorServer(const Options&);

    AcceptorThread acceptor_;
    OperatorService service_;
    std::unique_ptr<grpc::Server> server_;
    Base::Ipv4Endpoint endpoint_;
};

}
