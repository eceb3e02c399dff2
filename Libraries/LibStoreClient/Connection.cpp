#include <LibBase/Verify.h>
#include <LibStoreClient/Connection.h>

namespace Store {

namespace Wire = eelgrasshatch::store;

namespace {

    constexpr int reconnectBackoffMinimumMs = 100;
    constexpr int reconnectBackoffMaximumMs = 1000;
    /// Leaves room for a value of maximumValueBytes and its framing.
    constexpr int maximumMessageBytes = 2 * static_cast<int>(maximumValueBytes);

    grpc::ChannelArguments channelArguments()
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnectBackoffMinimumMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnectBackoffMinimumMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnectBackoffMaximumMs);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetMaxReceiveMessageSize(maximumMessageBytes);
        return arguments;
    }

    bool isWrite(const Request& request)
    {
        return !std::holds_alternative<Get>(request) && !std::holds_alternative<Watch>(request);
    }

    Base::milliseconds watchTimeout(const Request& request)
    {
        const auto* watch = std::get_if<Watch>(&request);
        return watch == nullptr ? Base::milliseconds { 0 } : watch->timeout;
    }

    Wire::GetRequest toWire(const Get& request)
    {
        Wire::GetRequest wire;
        wire.set_key(request.key);
        return wire;
    }

    Wire::CompareAndSwapRequest toWire(const CompareAndSwap& request)
    {
        Wire::CompareAndSwapRequest wire;
        wire.set_key(request.key);
        wire.set_expected(request.expected);
        wire.set_value(request.value);
        wire.set_lease(request.lease);
        return wire;
    }

    Wire::CompareAndDeleteRequest toWire(const CompareAndDelete& request)
    {
        Wire::CompareAndDeleteRequest wire;
        wire.set_key(request.key);
        wire.set_expected(request.expected);
        return wire;
    }

    Wire::WatchRequest toWire(const Watch& request)
    {
        Wire::WatchRequest wire;
        wire.set_key(request.key);
        wire.set_known(request.known);
        wire.set_timeout_ms(static_cast<uint64_t>(request.timeout.count()));
        return wire;
    }

    Wire::GrantLeaseRequest toWire(const GrantLease& request)
    {
        Wire::GrantLeaseRequest wire;
        wire.set_duration_ms(static_cast<uint64_t>(request.duration.count()));
        return wire;
    }

    Wire::LeaseRequest toWire(LeaseId lease)
    {
        Wire::LeaseRequest wire;
        wire.set_lease(lease);
        return wire;
    }

    /// Starts the gRPC call that corresponds to a request.
    struct CallStarter {
        Wire::KeyValue::Stub& stub;
        grpc::ClientContext* context;
        grpc::CompletionQueue* queue;

        auto operator()(const Get& request) const { return stub.AsyncGet(context, toWire(request), queue); }
        auto operator()(const CompareAndSwap& request) const
        {
            return stub.AsyncCompareAndSwap(context, toWire(request), queue);
        }
        auto operator()(const CompareAndDelete& request) const
        {
            return stub.AsyncCompareAndDelete(context, toWire(request), queue);
        }
        auto operator()(const Watch& request) const { return stub.AsyncWatch(context, toWire(request), queue); }
        auto operator()(const GrantLease& request) const
        {
            return stub.AsyncGrantLease(context, toWire(request), queue);
        }
        auto operator()(const RenewLease& request) const
        {
            return stub.AsyncRenewLease(context, toWire(request.lease), queue);
        }
        auto operator()(const RevokeLease& request) const
        {
            return stub.AsyncRevokeLease(context, toWire(request.lease), queue);
        }
    };

}

StoreClient::Connection::Connection(const Options& options)
    : options_(options)
    , channel_(grpc::CreateCustomChannel(
          options.endpoint.toString(), grpc::InsecureChannelCredentials(), channelArguments()))
    , keyValue_(Wire::KeyValue::NewStub(channel_))
    , vmList_(Wire::VmList::NewStub(channel_))
    , completions_(options.capacity)
    , thread_([this] { runCompletionLoop(); })
{
}

StoreClient::Connection::~Connection()
{
    {
        const std::lock_guard guard(callsLock_);
        for (auto* call : calls_)
            call->context.TryCancel();
    }
    queue_.Shutdown();
    thread_.join();
}

bool StoreClient::Connection::tryReserve()
{
    if (reservedCount_.fetch_add(1, std::memory_order_relaxed) < options_.capacity)
        return true;
    reservedCount_.fetch_sub(1, std::memory_order_relaxed);
    refusedCount_.fetch_add(1, std::memory_order_relaxed);
    return false;
}

bool StoreClient::Connection::isConnected() { return channel_->GetState(true) == GRPC_CHANNEL_READY; }

void StoreClient::Connection::initializeCall(PendingCall& call, RequestId id, Base::milliseconds deadline)
{
    call.id = id;
    call.context.set_deadline(std::chrono::system_clock::now() + deadline);
}

void StoreClient::Connection::trackCall(std::unique_ptr<PendingCall> call)
{
    const std::lock_guard guard(callsLock_);
    calls_.insert(call.release());
}

void StoreClient::Connection::untrackAndDelete(PendingCall* call)
{
    {
        const std::lock_guard guard(callsLock_);
        calls_.erase(call);
    }
    delete call;
}

void StoreClient::Connection::completeUnsent(RequestId id)
{
    auto call = std::make_unique<UnsentCall>();
    call->id = id;
    auto* pending = call.get();
    trackCall(std::move(call));
    pending->alarm.Set(&queue_, std::chrono::system_clock::now(), static_cast<PendingCall*>(pending));
}

bool StoreClient::Connection::trySubmit(RequestId id, const Request& request)
{
    if (!tryReserve())
        return false;
    if (isWrite(request) && !isConnected()) {
        completeUnsent(id);
        return true;
    }
    auto call = std::make_unique<PendingKeyValueCall>();
    initializeCall(*call, id, options_.callDeadline + watchTimeout(request));
    call->isWrite = isWrite(request);
    call->reader = std::visit(CallStarter { *keyValue_, &call->context, &queue_ }, request);
    auto* pending = call.get();
    trackCall(std::move(call));
    pending->reader->Finish(&pending->answer, &pending->status, static_cast<PendingCall*>(pending));
    return true;
}

bool StoreClient::Connection::trySubmitVmList(RequestId id)
{
    if (!tryReserve())
        return false;
    auto call = std::make_unique<PendingVmListCall>();
    initializeCall(*call, id, options_.callDeadline);
    call->reader = vmList_->AsyncListVms(&call->context, Wire::ListVmsRequest(), &queue_);
    auto* pending = call.get();
    trackCall(std::move(call));
    pending->reader->Finish(&pending->answer, &pending->status, static_cast<PendingCall*>(pending));
    return true;
}

bool StoreClient::Connection::tryPopCompletion(Completion& completion)
{
    if (!completions_.tryPop(completion))
        return false;
    reservedCount_.fetch_sub(1, std::memory_order_relaxed);
    return true;
}

void StoreClient::Connection::runCompletionLoop()
{
    void* tag = nullptr;
    bool isOk = false;
    while (queue_.Next(&tag, &isOk)) {
        auto* call = static_cast<PendingCall*>(tag);
        const bool isQueued = completions_.tryPush(call->completion());
        VERIFY(isQueued);
        untrackAndDelete(call);
        if (options_.onCompletion)
            options_.onCompletion();
    }
}

}
