#pragma once

#include <LibBase/Ring.h>
#include <LibStoreClient/PendingCall.h>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_set>

namespace Store {

/// The gRPC channel of a StoreClient, its calls in flight and the thread that waits for their completion.
class StoreClient::Connection {
public:
    explicit Connection(const Options&);
    ~Connection();

    bool trySubmit(RequestId, const Request&);
    bool trySubmitVmList(RequestId);
    bool tryPopCompletion(Completion& completion);
    uint64_t refusedCount() const { return refusedCount_.load(std::memory_order_relaxed); }

private:
    bool tryReserve();
    bool isConnected();
    void initializeCall(PendingCall&, RequestId, Base::milliseconds deadline);
    void completeUnsent(RequestId);
    void trackCall(std::unique_ptr<PendingCall>);
    void untrackAndDelete(PendingCall*);
    void runCompletionLoop();

    Options options_;
    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<eelgrasshatch::store::KeyValue::Stub> keyValue_;
    std::unique_ptr<eelgrasshatch::store::VmList::Stub> vmList_;
    grpc::CompletionQueue queue_;
    /// Never overflows, since at most options_.capacity calls are in flight or not yet popped.
    Base::Ring<Completion> completions_;
    std::atomic<std::size_t> reservedCount_ { 0 };
    std::atomic<uint64_t> refusedCount_ { 0 };
    std::mutex callsLock_;
    std::unordered_set<PendingCall*> calls_;
    std::thread thread_;
};

}
