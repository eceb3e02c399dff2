#include <LibStoreClient/PendingCall.h>

namespace Store {

namespace {

    Status fromWire(eelgrasshatch::store::Status status)
    {
        switch (status) {
        case eelgrasshatch::store::OK:
            return Status::Ok;
        case eelgrasshatch::store::VERSION_MISMATCH:
            return Status::VersionMismatch;
        case eelgrasshatch::store::NOT_FOUND:
            return Status::NotFound;
        case eelgrasshatch::store::UNCHANGED:
            return Status::Unchanged;
        case eelgrasshatch::store::TOO_LARGE:
            return Status::TooLarge;
        case eelgrasshatch::store::UNAVAILABLE:
            return Status::Unavailable;
        default:
            return Status::Unknown;
        }
    }

    Status statusWithoutResponse(const grpc::Status& status, bool isWrite)
    {
        if (isWrite || status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
            return Status::Unknown;
        return Status::Unavailable;
    }

    std::optional<ListedVm> fromWire(const eelgrasshatch::store::Vm& vm)
    {
        auto endpoint = Base::capture([&] { return Base::Ipv4Endpoint::parse(vm.control_endpoint()); });
        if (!endpoint.isOk())
            return std::nullopt;
        return ListedVm { *endpoint.value, vm.failure_domain(), vm.region(), vm.leaving() };
    }

}

Completion PendingKeyValueCall::completion() const
{
    if (!status.ok())
        return { id, Answer { .status = statusWithoutResponse(status, isWrite) } };
    return { id,
        Answer { .status = fromWire(answer.status()),
            .version = answer.version(),
            .value = answer.value(),
            .lease = answer.lease() } };
}

Completion PendingVmListCall::completion() const
{
    VmListAnswer result { .status = status.ok() ? Status::Ok : statusWithoutResponse(status, false), .vms = {} };
    for (const auto& vm : answer.vms()) {
        if (auto listed = fromWire(vm))
            result.vms.push_back(std::move(*listed));
    }
    return { id, std::move(result) };
}

}
