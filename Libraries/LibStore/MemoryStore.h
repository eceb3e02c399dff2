#pragma once

#include <LibStore/Store.h>
#include <map>
#include <set>
#include <string>

namespace Store {

/// In-memory implementation of the platform's store, for tests and stand-ins. Time is passed in by the caller. Not
/// thread-safe.
class MemoryStore {
public:
    /// Executes one request. A Watch does not wait: it returns Ok, NotFound for a deleted key, or Unchanged.
    Answer handle(Base::TimePoint now, const Request&);

    /// Ends expired leases and deletes their keys.
    void expireLeases(Base::TimePoint now);

    /// Returns the key's state before its last write, as a stale read would.
    Answer staleAnswer(const std::string& key) const;

    std::size_t keyCount() const { return entries_.size(); }

private:
    struct Entry {
        KeyVersion version { 0 };
        std::string value;
        LeaseId lease { 0 };
    };

    struct Lease {
        Base::milliseconds duration {};
        Base::TimePoint end;
        std::set<std::string> keys;
    };

    Answer execute(Base::TimePoint now, const Get&);
    Answer execute(Base::TimePoint now, const CompareAndSwap&);
    Answer execute(Base::TimePoint now, const CompareAndDelete&);
    Answer execute(Base::TimePoint now, const Watch&);
    Answer execute(Base::TimePoint now, const GrantLease&);
    Answer execute(Base::TimePoint now, const RenewLease&);
    Answer execute(Base::TimePoint now, const RevokeLease&);
    Answer versionMismatch(const std::string& key) const;
    void erase(const std::string& key);
    void endLease(LeaseId);

    std::map<std::string, Entry> entries_;
    std::map<std::string, Entry> previousEntries_;
    /// Last version of every key ever written, so that versions keep increasing across deletions.
    std::map<std::string, KeyVersion> lastVersions_;
    std::map<LeaseId, Lease> leases_;
    LeaseId nextLease_ { 1 };
};

}
