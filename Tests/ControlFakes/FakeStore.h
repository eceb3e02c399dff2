#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ControlFakes {

/// Simulates the platform's store and its faults in virtual time.
class FakeStore {
public:
    /// Receives the response and the time at which it arrives; not called if the response is lost.
    using Reply = std::function<void(Base::TimePoint at, Store::Answer)>;

    struct Faults {
        /// No call takes effect or receives a response.
        bool isDown { false };
        /// Calls receive an Unavailable response and take no effect.
        bool isRefusing { false };
        /// Probability that a call takes effect but its response is lost.
        double responseLossProbability { 0 };
        /// Watches receive no notifications of changes, only their timeouts.
        bool losesWatchNotifications { false };
        Base::milliseconds responseDelay { 3 };
    };

    /// Number of calls within one second.
    struct Load {
        uint64_t reads { 0 };
        uint64_t writes { 0 };
    };

    explicit FakeStore(uint64_t seed)
        : random_(seed)
    {
    }

    Faults faults;

    /// Handles a call that arrives now.
    void handle(Base::TimePoint now, const Store::Request&, Reply);
    /// Ends expired leases and watches.
    void tick(Base::TimePoint now);
    /// Writes a key regardless of faults; represents the operators' side in tests.
    void write(Base::TimePoint now, const std::string& key, std::string value);
    /// The value of a key, regardless of faults.
    std::optional<std::string> read(const std::string& key) const;
    /// Saves a backup of the current state.
    void saveBackup() { backup_ = values_; }
    /// Restores the state from the backup.
    void restoreBackup() { values_ = backup_; }
    /// Load of the busiest second since the last reset, separately for reads and writes. A pending watch counts in each
    /// second.
    Load peakLoad(Base::TimePoint now);
    void resetLoad(Base::TimePoint now);

private:
    struct Value {
        Store::KeyVersion version { 0 };
        bool isPresent { false };
        std::string text;
        Store::LeaseId lease { 0 };
    };

    struct PendingWatch {
        Store::Watch watch;
        Base::TimePoint deadline;
        Reply reply;
    };

    struct GrantedLease {
        Base::TimePoint expiresAt;
        Base::milliseconds duration;
    };

    void count(Base::TimePoint now, const Store::Request&);
    void closeLoadSecond();
    Store::Answer execute(Base::TimePoint now, const Store::Get&);
    Store::Answer execute(Base::TimePoint now, const Store::CompareAndSwap&);
    Store::Answer execute(Base::TimePoint now, const Store::CompareAndDelete&);
    Store::Answer execute(Base::TimePoint now, const Store::GrantLease&);
    Store::Answer execute(Base::TimePoint now, const Store::RenewLease&);
    Store::Answer execute(Base::TimePoint now, const Store::RevokeLease&);
    void put(Base::TimePoint now, const std::string& key, std::string text, Store::LeaseId);
    void remove(Base::TimePoint now, const std::string& key);
    void expireLease(Base::TimePoint now, Store::LeaseId);
    void notify(Base::TimePoint now, const std::string& key);
    void watch(Base::TimePoint now, const Store::Watch&, Reply);

    Base::Random random_;
    std::map<std::string, Value> values_;
    std::map<std::string, Value> backup_;
    std::map<Store::LeaseId, GrantedLease> leases_;
    Store::LeaseId lastLease_ { 0 };
    std::vector<PendingWatch> pendingWatches_;
    int64_t currentSecond_ { 0 };
    Load currentLoad_;
    Load peakLoad_;
};

}
