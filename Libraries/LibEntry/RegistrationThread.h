#pragma once

#include <LibBase/Random.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/StateFeed.h>
#include <LibEntry/StoreCounters.h>
#include <LibEntry/Worker.h>

namespace Entry {

/// Keeps this entry VM's record in the store under a lease.
class RegistrationThread {
public:
    RegistrationThread(const EntrySettings&, StoreCounters&);

    void start();
    void requestStop() { worker_.requestStop(); }
    /// Called when this entry VM's record was removed, although its lease may still be valid. Any thread.
    void scheduleRecordRewrite();
    /// Called when records of a new era were received. The store may have lost the record, or given its lease to
    /// another entry VM. Any thread.
    void handleStoreEra(uint64_t era);
    /// Revokes the lease, so that peers see a planned stop immediately.
    void stop();

private:
    void run();
    /// Returns the time until the next call.
    Base::milliseconds step();
    /// Whether the lease was granted before the store came back from a copy.
    bool isLeaseOutdated() const { return lease_ != 0 && storeEra_.load() > leaseEra_; }
    /// Returns whether the era is higher than the known one.
    bool raiseStoreEra(uint64_t era);
    template <typename T>
    void recordResponse(StoreCall, const Platform::StoreResponse<T>&);
    bool registerWithNewLease();
    /// Writes the record under the current lease.
    bool writeRecord();

    const EntrySettings& settings_;
    StoreCounters& counters_;
    Platform::StoreClient client_;
    Platform::LeaseId lease_ { 0 };
    /// The store's era when the lease was granted.
    uint64_t leaseEra_ { 0 };
    /// The highest era that is known.
    std::atomic<uint64_t> storeEra_ { 0 };
    Base::Random random_;
    std::atomic<bool> isRecordMissing_ { false };
    Worker worker_;
};

}
