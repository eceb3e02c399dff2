#pragma once

#include <LibOperator/AcceptorThread.h>
#include <LibOperator/WireModel.h>
#include <LibPeer/NodeStatus.h>
#include <Operator.grpc.pb.h>
#include <functional>

namespace Operator {

/// Implements the gRPC service for operators. Each call runs on a gRPC thread and blocks until the acceptor's thread
/// completes it.
class OperatorService final : public Wire::Operator::Service {
public:
    struct Options {
        /// Queries the balancer beside this endpoint for the revision in force. Fails if the balancer does not respond.
        /// May be empty.
        std::function<Base::ErrorOr<Peer::NodeStatus>()> queryBalancer;
        /// Called with the duration of each submitted change, on any thread. May be empty.
        std::function<void(Base::nanoseconds)> onChangeCompleted;
    };

    OperatorService(AcceptorThread&, Options);

private:
    // ^Wire::Operator::Service; the generated code capitalizes method names.
    // NOLINTBEGIN(readability-identifier-naming)
    grpc::Status Submit(grpc::ServerContext*, const Wire::ChangeRequest*, Wire::ChangeReply*) override;
    grpc::Status Plan(grpc::ServerContext*, const Wire::PlanRequest*, Wire::PlanReply*) override;
    grpc::Status Read(grpc::ServerContext*, const Wire::ReadRequest*, Wire::Configuration*) override;
    grpc::Status History(grpc::ServerContext*, const Wire::HistoryRequest*, Wire::HistoryReply*) override;
    grpc::Status Explain(grpc::ServerContext*, const Wire::ExplainRequest*, Wire::ExplainReply*) override;
    grpc::Status Status(grpc::ServerContext*, const Wire::StatusRequest*, Wire::StatusReply*) override;
    // NOLINTEND(readability-identifier-naming)

    Configuration::RefreshReply refreshState();

    AcceptorThread& acceptor_;
    Options options_;
};

}
