#include <LibStandInStore/KeyValueService.h>

namespace StandInStore {

namespace {

    Wire::Status toWire(Store::Status status)
    {
        switch (status) {
        case Store::Status::Ok:
            return Wire::OK;
        case Store::Status::VersionMismatch:
            return Wire::VERSION_MISMATCH;
        case Store::Status::NotFound:
            return Wire::NOT_FOUND;
        case Store::Status::Unchanged:
            return Wire::UNCHANGED;
        case Store::Status::TooLarge:
            return Wire::TOO_LARGE;
        case Store::Status::Unavailable:
            return Wire::UNAVAILABLE;
        case Store::Status::Unknown:
            break;
        }
        return Wire::UNKNOWN;
    }

    grpc::Status unavailableStatus() { return { grpc::StatusCode::UNAVAILABLE, "no answer" }; }

}

grpc::Status KeyValueService::execute(
    grpc::ServerContext* context, const std::string& methodName, const Store::Request& request, Wire::Answer* wire)
{
    const auto result = platform_.handle(methodName, request, [&] { return context->IsCancelled(); });
    if (!result.isResponseSent)
        return unavailableStatus();
    wire->set_status(toWire(result.answer.status));
    wire->set_version(result.answer.version);
    wire->set_value(result.answer.value);
    wire->set_lease(result.answer.lease);
    return grpc::Status::OK;
}

grpc::Status KeyValueService::Get(grpc::ServerContext* context, const Wire::GetRequest* request, Wire::Answer* answer)
{
    return execute(context, "get", Store::Get { request->key() }, answer);
}

grpc::Status KeyValueService::CompareAndSwap(
    grpc::ServerContext* context, const Wire::CompareAndSwapRequest* request, Wire::Answer* answer)
{
    const Store::CompareAndSwap swap {
        .key = request->key(), .expected = request->expected(), .value = request->value(), .lease = request->lease()
    };
    return execute(context, "compare_and_swap", swap, answer);
}

grpc::Status KeyValueService::CompareAndDelete(
    grpc::ServerContext* context, const Wire::CompareAndDeleteRequest* request, Wire::Answer* answer)
{
    const Store::CompareAndDelete remove { .key = request->key(), .expected = request->expected() };
    return execute(context, "compare_and_delete", remove, answer);
}

grpc::Status KeyValueService::Watch(
    grpc::ServerContext* context, const Wire::WatchRequest* request, Wire::Answer* answer)
{
    const Store::Watch watch {
        .key = request->key(), .known = request->known(), .timeout = Base::milliseconds(request->timeout_ms())
    };
    return execute(context, "watch", watch, answer);
}

grpc::Status KeyValueService::GrantLease(
    grpc::ServerContext* context, const Wire::GrantLeaseRequest* request, Wire::Answer* answer)
{
    return execute(context, "grant_lease", Store::GrantLease { Base::milliseconds(request->duration_ms()) }, answer);
}

grpc::Status KeyValueService::RenewLease(
    grpc::ServerContext* context, const Wire::LeaseRequest* request, Wire::Answer* answer)
{
    return execute(context, "renew_lease", Store::RenewLease { request->lease() }, answer);
}

grpc::Status KeyValueService::RevokeLease(
    grpc::ServerContext* context, const Wire::LeaseRequest* request, Wire::Answer* answer)
{
    return execute(context, "revoke_lease", Store::RevokeLease { request->lease() }, answer);
}

grpc::Status VmListService::ListVms(
    grpc::ServerContext* context, const Wire::ListVmsRequest*, Wire::ListVmsAnswer* answer)
{
    auto vms = platform_.listVms([&] { return context->IsCancelled(); });
    if (!vms)
        return unavailableStatus();
    *answer = std::move(*vms);
    return grpc::Status::OK;
}

}
