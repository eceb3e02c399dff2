#pragma once

#include <LibBase/Ring.h>
#include <LibBase/Time.h>
#include <LibMirror/Mirror.h>
#include <LibSteering/Events.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <string_view>

namespace Entry {

/// Passes the store's records from their sources (the store, peers) to the packet thread. Records are decoded on the
/// source's thread and passed on as typed events through a bounded ring.
class StateFeed {
public:
    struct Options {
        /// Called after events are added to the ring.
        std::function<void()> wake;
        Base::EntryVmId self;
        /// Called on any thread when this entry VM's own record was removed from the store. May be empty.
        std::function<void()> onOwnRecordRemoved;
    };

    explicit StateFeed(Options);

    /// Applies a batch of records. source: "store" or the peer's endpoint, for the log.
    void apply(const Mirror::ChangeBatch&, std::string_view source);
    /// detail: the store's response or the source of the information, for the log.
    void setStoreReachable(bool isReachable, std::string_view detail);

    /// The changes that a peer at the given revision lacks, see Mirror::changesAfter().
    Mirror::ChangeBatch changesAfter(uint64_t revision, std::size_t maximumBytes) const;
    /// Revision of the store up to which records have been applied.
    uint64_t revision() const { return revision_.load(std::memory_order_acquire); }
    bool isSynchronized() const { return synchronized_.load(std::memory_order_acquire); }
    bool isStoreReachable() const { return storeReachable_.load(std::memory_order_acquire); }
    uint64_t refusedRecords() const { return refusedRecords_.load(std::memory_order_relaxed); }

    /// For the packet thread.
    bool tryPop(Steering::StateEvent& event) { return events_.tryPop(event); }
    bool isEmpty() const { return events_.isEmpty(); }

private:
    void push(const Steering::StateEvent&);
    void applyRecord(const Mirror::Record&, std::string_view source);

    Options options_;
    mutable std::mutex mutex_;
    Mirror::Mirror mirror_;
    Base::Ring<Steering::StateEvent> events_;
    std::atomic<uint64_t> revision_ { 0 };
    std::atomic<bool> synchronized_ { false };
    std::atomic<bool> storeReachable_ { true };
    std::atomic<uint64_t> refusedRecords_ { 0 };
};

}
