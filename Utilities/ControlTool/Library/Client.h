#pragma once

#include "Arguments.h"
#include <LibBase/Error.h>
#include <Operator.grpc.pb.h>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <vector>

namespace ControlTool {

namespace Wire = eelgrasshatch::operators;

/// gRPC client for a list of operators' endpoints that fails over to the next endpoint if one does not respond.
class Client {
public:
    /// Returns ErrorCode::InvalidArgument without endpoints or with only one of certificate and key, and NotFound for
    /// files that cannot be read.
    static Base::ErrorOr<Client> create(const Arguments&);

    /// Submits a change and repeats it under the same request id until its outcome is definitive or the retry timeout
    /// expires.
    Wire::ChangeReply submit(const Wire::ChangeRequest&);

    /// The read calls return ErrorCode::Unavailable if no endpoint responds, otherwise the error of the endpoint.
    Base::ErrorOr<Wire::Configuration> read();
    Base::ErrorOr<Wire::PlanReply> plan(const Wire::PlanRequest&);
    Base::ErrorOr<Wire::HistoryReply> history(const Wire::HistoryRequest&);
    Base::ErrorOr<Wire::ExplainReply> explain(const Wire::ExplainRequest&);
    Base::ErrorOr<Wire::StatusReply> status();

private:
    using Stub = Wire::Operator::Stub;

    /// The gRPC connection to one endpoint.
    struct Endpoint {
        std::shared_ptr<grpc::Channel> channel;
        std::unique_ptr<Stub> stub;
    };

    Client(const Arguments&, std::vector<Endpoint>);

    /// Waits up to the call timeout for a connection to the preferred endpoint. Returns false if there is none.
    bool waitForConnection();
    /// Makes one attempt to submit a change. Returns false unless the outcome is definitive; the reply then holds the
    /// failure, and keeps an earlier OUTCOME_UNKNOWN.
    bool trySubmit(const Wire::ChangeRequest&, Wire::ChangeReply&);

    void setCallDeadline(grpc::ClientContext&) const;
    template <typename Reply>
    Base::ErrorOr<Reply> callWithFailover(const std::function<grpc::Status(Stub&, grpc::ClientContext*, Reply*)>&);

    std::vector<Endpoint> endpoints_;
    /// Index of the endpoint that the next call uses; moves to the next one when that endpoint is unavailable or
    /// gives no definitive outcome.
    std::size_t preferredEndpoint_ { 0 };
    Base::milliseconds callTimeout_;
    Base::milliseconds retryTimeout_;
};

}
