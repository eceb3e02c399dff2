#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibStore/MemoryStore.h>
#include <Store.pb.h>
#include <StoreControl.pb.h>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace StandInStore {

/// Result of one call.
struct Result {
    /// Whether the client receives the answer; if false, the call fails without one.
    bool isResponseSent { true };
    Store::Answer answer;
};

/// State behind the stand-in's services: keys, VM list, faults and call counts. Thread-safe.
class Platform {
public:
    /// The seed determines which answers are lost and which reads are stale.
    explicit Platform(uint64_t seed);

    /// Executes one call under the current faults. Blocks for a Watch, and during a delay or an unresponsive outage,
    /// until isCancelled returns true or stop() is called.
    Result handle(const std::string& methodName, const Store::Request&, const std::function<bool()>& isCancelled);

    /// Returns the VM list as of the configured lag, or nullopt during an outage.
    std::optional<eelgrasshatch::store::ListVmsAnswer> listVms(const std::function<bool()>& isCancelled);
    /// Adds or replaces a VM by its control endpoint.
    void putVm(const eelgrasshatch::store::Vm&);
    /// Removes a VM by its control endpoint.
    void removeVm(const std::string& controlEndpoint);

    /// Replaces the current faults.
    void setFaults(const eelgrasshatch::store::Faults&);
    /// Returns the call counts since the start or the last reset; reset sets them to zero afterwards.
    eelgrasshatch::store::Counts counts(bool reset);
    /// Releases all waiting calls, for shutdown.
    void stop();

private:
    using Lock = std::unique_lock<std::mutex>;
    using VmsByEndpoint = std::map<std::string, eelgrasshatch::store::Vm>;

    struct PastVmList {
        Base::TimePoint validUntil;
        VmsByEndpoint vms;
    };

    /// Applies the delay and the outage to a call; returns its result, or nullopt if the call may proceed.
    std::optional<Result> applyOutage(Lock&, const std::function<bool()>& isCancelled);
    Store::Answer watch(Lock&, const Store::Watch&, const std::function<bool()>& isCancelled);
    Result execute(const Store::Request&);
    void recordVmList();
    const VmsByEndpoint& visibleVms() const;
    bool drawWithProbability(uint32_t permille);

    std::mutex lock_;
    std::condition_variable changed_;
    Store::MemoryStore store_;
    Base::Random random_;
    eelgrasshatch::store::Faults faults_;
    VmsByEndpoint vms_;
    std::deque<PastVmList> pastVmLists_;
    std::map<std::string, uint64_t> counts_;
    uint32_t waitingWatches_ { 0 };
    bool isStopped_ { false };
};

}
