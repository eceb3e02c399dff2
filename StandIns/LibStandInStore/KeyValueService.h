#pragma once

#include <LibStandInStore/Platform.h>
#include <Store.grpc.pb.h>

namespace StandInStore {

namespace Wire = eelgrasshatch::store;

/// gRPC key-value service, backed by a Platform.
class KeyValueService final : public Wire::KeyValue::Service {
public:
    explicit KeyValueService(Platform& platform)
        : platform_(platform)
    {
    }

private:
    // ^Wire::KeyValue::Service; the generated method names start with capitals.
    // NOLINTBEGIN(readability-identifier-naming)
    grpc::Status Get(grpc::ServerContext*, const Wire::GetRequest*, Wire::Answer*) override;
    grpc::Status CompareAndSwap(grpc::ServerContext*, const Wire::CompareAndSwapRequest*, Wire::Answer*) override;
    grpc::Status CompareAndDelete(grpc::ServerContext*, const Wire::CompareAndDeleteRequest*, Wire::Answer*) override;
    grpc::Status Watch(grpc::ServerContext*, const Wire::WatchRequest*, Wire::Answer*) override;
    grpc::Status GrantLease(grpc::ServerContext*, const Wire::GrantLeaseRequest*, Wire::Answer*) override;
    grpc::Status RenewLease(grpc::ServerContext*, const Wire::LeaseRequest*, Wire::Answer*) override;
    grpc::Status RevokeLease(grpc::ServerContext*, const Wire::LeaseRequest*, Wire::Answer*) override;
    // NOLINTEND(readability-identifier-naming)

    grpc::Status execute(grpc::ServerContext*, const std::string& methodName, const Store::Request&, Wire::Answer*);

    Platform& platform_;
};

/// gRPC VM list service, backed by a Platform.
class VmListService final : public Wire::VmList::Service {
public:
    explicit VmListService(Platform& platform)
        : platform_(platform)
    {
    }

private:
    // NOLINTNEXTLINE(readability-identifier-naming)
    grpc::Status ListVms(grpc::ServerContext*, const Wire::ListVmsRequest*, Wire::ListVmsAnswer*) override;

    Platform& platform_;
};

}
