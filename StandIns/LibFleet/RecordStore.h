#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace StandIn {

/// In-memory records of the platform's store, without I/O: one revision counter, leases and a history that can be
/// dropped. It can come back from a copy of an earlier state, which then counts as a new era.
class RecordStore {
public:
    struct Item {
        std::string key;
        std::string value;
        uint64_t revision { 0 };
        uint64_t createdRevision { 0 };
        uint64_t lease { 0 };
        bool isDeletion { false };
    };

    /// Sets the function that is called after each change.
    void setOnChange(std::function<void()> onChange) { onChange_ = std::move(onChange); }

    uint64_t put(const std::string& key, const std::string& value, uint64_t lease = 0);
    void remove(const std::string& key);
    const Item* find(const std::string& key) const;
    std::vector<Item> range(
        const std::string& prefix, const std::string& after, std::size_t limit, bool& hasMore) const;
    /// Returns nullopt if the history does not contain the revision.
    std::optional<std::vector<Item>> changesAfter(const std::string& prefix, uint64_t revision) const;
    uint64_t revision() const { return state_.revision; }
    void dropHistory();

    /// Rises with each return to a copy.
    uint64_t era() const { return era_; }
    /// Keeps a copy of the current state, for restoreCopy().
    void keepCopy() { copy_ = state_; }
    /// Returns to the kept copy; revisions and leases that were given out since are given out again.
    void restoreCopy();

    uint64_t grantLease(Base::TimePoint now, Base::milliseconds lifetime);
    /// Returns the lifetime, or nullopt if the lease has expired or was revoked.
    std::optional<Base::milliseconds> renewLease(Base::TimePoint now, uint64_t lease);
    bool hasLease(uint64_t lease) const { return state_.leases.contains(lease); }
    void revokeLease(uint64_t lease);
    void expireLeases(Base::TimePoint now);

private:
    struct Lease {
        Base::milliseconds lifetime { 0 };
        Base::TimePoint expiresAt;
    };

    struct State {
        std::map<std::string, Item> items;
        std::deque<Item> history;
        uint64_t historyStartRevision { 0 };
        uint64_t revision { 1 };
        std::map<uint64_t, Lease> leases;
        uint64_t nextLease { 1000 };
    };

    State state_;
    State copy_;
    uint64_t era_ { 1 };
    std::function<void()> onChange_;
};

}
