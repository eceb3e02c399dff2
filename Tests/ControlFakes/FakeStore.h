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

/// The platform's store in virtual time, with its faults.
class FakeStore {
public:
    /// Calls answer(at, answer) at a later time; never called when the answer is lost.
    using Reply = std::function<void(Base::TimePoint at, Store::Answer)>;

    struct Faults {
        /// No call takes effect and none is answered.
        bool isDown { false };
        /// Calls are refused at once.
        bool isRefusing { false };
        /// Share of calls that take effect while their answer is lost.
        double responseLossProbability { 0 };
        /// Watches are not told of changes, only of their time-out.
        bool losesWatchNotifications { false };
        Base::milliseconds responseDelay { 3 };
    };

    /// Calls within one second.
    struct Load {
        uint64_t reads { 0 };
        uint64_t writes { 0 };
    };

    explicit FakeStore(uint64_t seed)
        : random_(seed)
    {
    }

    Faults faults;

    /// A call that arrives now.
    void handle(Base::TimePoint now, const Store::Request&, Reply);
    /// Ends leases and watches whose time is over.
    void tick(Base::TimePoint now);
    /// Writes a key past all faults; for the operators' side of a test.
    void write(Base::TimePoint now, const std::string& key, std::string value);
    /// The value of a key, past all faults.
    std::optional<std::string> read(const std::string& key) const;
    /// Keeps the current state, to go back to it later.
    void saveBackup() { backup_ = values_; }
    /// Goes back to the kept state, as a restore from an old backup does.
    void restoreBackup() { values_ = backup_; }
    /// The busiest second since the last reset; a waiting watch counts in each second that it waits in.
    Load worstLoad(Base::TimePoint now);
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
