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

/// Joins the sources of the store's records (the store, peers) with the one thread that decides. Records come in on any
/// thread, are decoded there, and leave as typed events through a bounded ring.
class BeliefFeed {
public:
    struct Options {
        /// Called after events were added to the ring.
        std::function<void()> wake;
        Base::EntryVmId self;
        /// Called when this entry VM's own record is gone from the store. Any thread; may be empty.
        std::function<void()> onUnlisted;
    };

    explicit BeliefFeed(Options);

    /// Takes over a batch of records; source: "store" or the peer's endpoint, for the log.
    void apply(const Mirror::ChangeBatch&, std::string_view source);
    /// detail: what the store answered, or who says so.
    void setStoreReachable(bool isReachable, std::string_view detail);

    /// What a peer that holds everything up to a revision lacks.
    Mirror::ChangeBatch changesAfter(uint64_t revision, std::size_t maximumBytes) const;
    /// The store's revision that is held.
    uint64_t revision() const { return revision_.load(std::memory_order_acquire); }
    bool isSynchronized() const { return synchronized_.load(std::memory_order_acquire); }
    bool isStoreReachable() const { return storeReachable_.load(std::memory_order_acquire); }
    uint64_t refusedRecords() const { return refusedRecords_.load(std::memory_order_relaxed); }

    /// The deciding thread's side.
    bool tryPop(Steering::BeliefEvent& event) { return events_.tryPop(event); }
    bool isEmpty() const { return events_.isEmpty(); }

private:
    void push(const Steering::BeliefEvent&);
    void applyRecord(const Mirror::Record&, std::string_view source);

    Options options_;
    mutable std::mutex mutex_;
    Mirror::Mirror mirror_;
    Base::Ring<Steering::BeliefEvent> events_;
    std::atomic<uint64_t> revision_ { 0 };
    std::atomic<bool> synchronized_ { false };
    std::atomic<bool> storeReachable_ { true };
    std::atomic<uint64_t> refusedRecords_ { 0 };
};

}
