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

/// The records of the platform's store, without any I/O: one revision counter, leases, a history that can be dropped.
class RecordStore {
public:
    struct Item {
        std::string key;
        std::string value;
        uint64_t revision { 0 };
        uint64_t created { 0 };
        uint64_t lease { 0 };
        bool isDeletion { false };
    };

    /// Called after each change.
    void setOnChange(std::function<void()> onChange) { onChange_ = std::move(onChange); }

    uint64_t put(const std::string& key, const std::string& value, uint64_t lease = 0);
    void remove(const std::string& key);
    const Item* find(const std::string& key) const;
    std::vector<Item> range(
        const std::string& prefix, const std::string& after, std::size_t limit, bool& hasMore) const;
    /// Nothing when the history does not reach back that far.
    std::optional<std::vector<Item>> changesAfter(const std::string& prefix, uint64_t revision) const;
    uint64_t revision() const { return revision_; }
    void dropHistory();

    uint64_t grantLease(Base::TimePoint now, Base::milliseconds lifetime);
    /// The lifetime; nothing when the lease has ended.
    std::optional<Base::milliseconds> renewLease(Base::TimePoint now, uint64_t lease);
    bool hasLease(uint64_t lease) const { return leases_.contains(lease); }
    void endLease(uint64_t lease);
    void expireLeases(Base::TimePoint now);

private:
    struct Lease {
        Base::milliseconds lifetime { 0 };
        Base::TimePoint ends;
    };

    std::map<std::string, Item> items_;
    std::deque<Item> history_;
    uint64_t historyAfter_ { 0 };
    uint64_t revision_ { 1 };
    std::map<uint64_t, Lease> leases_;
    uint64_t nextLease_ { 1000 };
    std::function<void()> onChange_;
};

}
