#pragma once

#include <LibEntry/BeliefFeed.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/StoreCounters.h>
#include <LibEntry/Worker.h>

namespace Entry {

/// Keeps this entry VM listed in the store, under a lease.
class RegistrationThread {
public:
    RegistrationThread(const EntrySettings&, StoreCounters&);

    void start();
    void askToStop() { worker_.askToStop(); }
    /// Any thread: this entry VM's record is gone, although its lease may live on.
    void noteUnlisted();
    /// Ends the lease, so that peers learn of a planned stop at once.
    void stop();

private:
    void run();
    /// How long to pause before the next step.
    Base::milliseconds step();
    bool registerAnew();
    /// Writes the record under the lease.
    bool writeRecord();

    const EntrySettings& settings_;
    StoreCounters& counters_;
    Platform::StoreClient client_;
    Platform::LeaseId lease_ { 0 };
    std::atomic<bool> isUnlisted_ { false };
    Worker worker_;
};

}
