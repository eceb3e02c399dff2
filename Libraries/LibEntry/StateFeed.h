#pragma once

#include <LibBase/Time.h>
#include <LibMirror/Mirror.h>
#include <LibSteering/Events.h>
#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <string_view>

namespace Entry {

/// Passes the store's records from their sources (the store, peers) to the packet thread. Records are decoded on the
/// source's thread and passed on as typed events in the order of their changes.
///
/// No call waits for the packet thread, which may report the store's state itself. Pending events are bounded by the
/// records that the mirror holds anyway, and by the changes since the packet thread last ran.
class StateFeed {
public:
    struct Options {
        /// Called after events were added.
        std::function<void()> wake;
        Base::EntryVmId self;
        /// Called on any thread when this entry VM's own record was removed from the store. May be empty.
        std::function<void()> onOwnRecordRemoved;
        /// Called on any thread when records of a new era were received. May be empty.
        std::function<void(uint64_t era)> onStoreEra {};
    };

    explicit StateFeed(Options);

    /// Applies a batch of records. source: "store" or the peer's endpoint, for the log. Returns false if the batch was
    /// ignored; see Mirror::accepts().
    bool apply(const Mirror::ChangeBatch&, std::string_view source);
    /// detail: the store's response or the source of the information, for the log.
    void setStoreReachable(bool isReachable, std::string_view detail);

    /// The changes that a peer at the given position lacks, see Mirror::changesAfter().
    Mirror::ChangeBatch changesAfter(Base::StorePosition, std::size_t maximumBytes) const;
    /// Position of the store up to which records have been applied.
    Base::StorePosition position() const
    {
        const std::scoped_lock lock(positionMutex_);
        return position_;
    }
    uint64_t revision() const { return position().revision; }
    bool isSynchronized() const { return synchronized_.load(std::memory_order_acquire); }
    bool isStoreReachable() const { return storeReachable_.load(std::memory_order_acquire); }
    uint64_t refusedRecords() const { return refusedRecords_.load(std::memory_order_relaxed); }
    uint64_t ignoredBatches() const { return ignoredBatches_.load(std::memory_order_relaxed); }

    /// For the packet thread.
    bool tryPop(Steering::StateEvent& event);
    bool isEmpty() const { return eventCount_.load(std::memory_order_acquire) == 0; }

private:
    void push(Steering::StateEvent);
    void applyRecord(const Mirror::Record&, uint64_t era, std::string_view source);
    /// Returns whether the configuration is newer than the one in force, as the decider judges as well.
    bool isNewConfiguration(const Steering::ConfigurationChanged&, std::string_view source) const;
    void recordIgnored(const Mirror::ChangeBatch&, std::string_view source);
    /// The store came back from a copy, whose content the batch is.
    void beginCopy(const Mirror::ChangeBatch&, std::string_view source);
    void recordSynchronized(const Mirror::ChangeBatch&, std::string_view source) const;

    Options options_;
    /// Protects mirror_, and keeps the events of different sources in the order of their changes.
    mutable std::mutex mutex_;
    Mirror::Mirror mirror_;
    /// The newest configuration that was passed on.
    std::shared_ptr<const Steering::Configuration> configuration_;
    /// Protects events_; held for single events only, so that the packet thread never waits for a batch.
    std::mutex eventsMutex_;
    std::deque<Steering::StateEvent> events_;
    std::atomic<std::size_t> eventCount_ { 0 };
    /// Protects position_; the packet thread does not wait for a batch to read it.
    mutable std::mutex positionMutex_;
    Base::StorePosition position_;
    std::atomic<bool> synchronized_ { false };
    std::atomic<bool> storeReachable_ { true };
    std::atomic<uint64_t> refusedRecords_ { 0 };
    std::atomic<uint64_t> ignoredBatches_ { 0 };
};

}
