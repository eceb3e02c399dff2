#pragma once

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
    /// Revokes the lease, so that peers see a planned stop immediately.
    void stop();

private:
    void run();
    /// Returns the time until the next call.
    Base::milliseconds step();
    bool registerWithNewLease();
    /// Writes the record under the current lease.
    bool writeRecord();

    const EntrySettings& settings_;
    StoreCounters& counters_;
    Platform::StoreClient client_;
    Platform::LeaseId lease_ { 0 };
    std::atomic<bool> isRecordMissing_ { false };
    Worker worker_;
};

}
