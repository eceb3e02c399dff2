#include <LibStandInStore/ControlService.h>

namespace StandInStore {

namespace Wire = eelgrasshatch::store;

grpc::Status ControlService::SetFaults(grpc::ServerContext*, const Wire::Faults* request, Wire::Faults* answer)
{
    platform_.setFaults(*request);
    *answer = *request;
    return grpc::Status::OK;
}

grpc::Status ControlService::GetCounts(grpc::ServerContext*, const Wire::CountsRequest* request, Wire::Counts* answer)
{
    *answer = platform_.counts(request->reset());
    return grpc::Status::OK;
}

grpc::Status ControlService::PutVm(grpc::ServerContext*, const Wire::Vm* vm, Wire::ControlAnswer*)
{
    platform_.putVm(*vm);
    return grpc::Status::OK;
}

grpc::Status ControlService::RemoveVm(grpc::ServerContext*, const Wire::Vm* vm, Wire::ControlAnswer*)
{
    platform_.removeVm(vm->control_endpoint());
    return grpc::Status::OK;
}

}
