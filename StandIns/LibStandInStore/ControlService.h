#pragma once

#include <LibStandInStore/Platform.h>
#include <StoreControl.grpc.pb.h>

namespace StandInStore {

/// gRPC service with which tests inject faults, read call counts and edit the VM list.
class ControlService final : public eelgrasshatch::store::StoreControl::Service {
public:
    explicit ControlService(Platform& platform)
        : platform_(platform)
    {
    }

private:
    // ^StoreControl::Service; the generated method names start with capitals.
    // NOLINTBEGIN(readability-identifier-naming)
    grpc::Status SetFaults(
        grpc::ServerContext*, const eelgrasshatch::store::Faults*, eelgrasshatch::store::Faults*) override;
    grpc::Status GetCounts(
        grpc::ServerContext*, const eelgrasshatch::store::CountsRequest*, eelgrasshatch::store::Counts*) override;
    grpc::Status PutVm(
        grpc::ServerContext*, const eelgrasshatch::store::Vm*, eelgrasshatch::store::ControlAnswer*) override;
    grpc::Status RemoveVm(
        grpc::ServerContext*, const eelgrasshatch::store::Vm*, eelgrasshatch::store::ControlAnswer*) override;
    // NOLINTEND(readability-identifier-naming)

    Platform& platform_;
};

}
