#pragma once

#include <LibStoreClient/StoreClient.h>
#include <Store.grpc.pb.h>
#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>

namespace Store {

/// A call in flight, from submission until the completion queue returns it.
struct PendingCall {
    virtual ~PendingCall() = default;
    /// Returns the result. Valid once the completion queue has returned the call.
    virtual Completion completion() const = 0;

    RequestId id { 0 };
    grpc::ClientContext context;
    grpc::Status status;
};

/// A call to the key-value service.
struct PendingKeyValueCall : PendingCall {
    Completion completion() const override;

    /// Whether the call may have modified the store.
    bool isWrite { false };
    eelgrasshatch::store::Answer answer;
    std::unique_ptr<grpc::ClientAsyncResponseReader<eelgrasshatch::store::Answer>> reader;
};

/// A call to the VM list service.
struct PendingVmListCall : PendingCall {
    Completion completion() const override;

    eelgrasshatch::store::ListVmsAnswer answer;
    std::unique_ptr<grpc::ClientAsyncResponseReader<eelgrasshatch::store::ListVmsAnswer>> reader;
};

/// A write that was not sent because the channel was not connected.
struct UnsentCall : PendingCall {
    Completion completion() const override { return { id, Answer { .status = Status::Unavailable } }; }

    grpc::Alarm alarm;
};

}
