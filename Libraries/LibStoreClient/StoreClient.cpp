#include <LibStoreClient/Connection.h>
#include <LibStoreClient/StoreClient.h>

namespace Store {

std::unique_ptr<StoreClient> StoreClient::create(const Options& options)
{
    return std::unique_ptr<StoreClient>(new StoreClient(std::make_unique<Connection>(options)));
}

StoreClient::StoreClient(std::unique_ptr<Connection> connection)
    : connection_(std::move(connection))
{
}

StoreClient::~StoreClient() = default;

bool StoreClient::trySubmit(RequestId id, const Request& request) { return connection_->trySubmit(id, request); }

bool StoreClient::trySubmitVmList(RequestId id) { return connection_->trySubmitVmList(id); }

bool StoreClient::tryPopCompletion(Completion& completion) { return connection_->tryPopCompletion(completion); }

uint64_t StoreClient::refusedCount() const { return connection_->refusedCount(); }

}
