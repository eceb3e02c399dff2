#pragma once

#include <LibBase/Random.h>
#include <LibEntry/CatchUpThread.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/StateFeed.h>
#include <LibEntry/StoreCounters.h>
#include <LibEntry/Worker.h>
#include <LibSteering/Process/StoreResponsiveness.h>
#include <optional>
#include <platform/StoreClient.h>

namespace Entry {

/// Watches the store's records: reads all of them once, then waits for changes, and reads all again if the store no
/// longer has the history.
class StoreThread {
public:
    StoreThread(const EntrySettings&, StateFeed&, CatchUpThread&, StoreCounters&);

    void start();
    /// Sets whether this entry VM watches the store itself or receives records from peers. Any thread.
    void setWatching(bool);
    /// Whether the store responds to this entry VM. Any thread.
    Steering::StoreView view(Base::TimePoint now) const;
    void stop()
    {
        worker_.requestStop();
        client_.interrupt();
        worker_.stop();
    }

private:
    void run();
    /// Closes the connection and waits until this entry VM is to watch the store again or the idle interval ends.
    void pauseWatching();
    /// Makes the next call. Returns whether it succeeded.
    bool readOrWatch();
    /// Reads the next page of all records; applies them together after the last page.
    bool readNextPage();
    /// After the first of several pages: waits until a peer has supplied the records, unless this entry VM is one of
    /// those that read all of them.
    void waitForPeers(const Mirror::ChangeBatch& firstPage);
    /// Sets the known era if the store did not state it, as one without eras or a proxy before it does.
    void assumeKnownEraIfMissing(Mirror::ChangeBatch&) const;
    /// Adds a page to those read so far. Returns false if it is of another era, so that reading has to start again.
    bool addPage(Mirror::ChangeBatch&&);
    /// Applies the complete state. Returns whether it, or what peers sent meanwhile, is in use.
    bool applySnapshot();
    /// Whether the applied records are older than the pages read so far.
    bool isBehindPages() const;
    /// Notes that a read begins whose answer becomes overdue.
    void beginRead();
    /// Returns how long the watch that now begins should wait.
    Base::milliseconds beginWatch();
    bool watch();
    void handleCallSuccess();
    void handleCallFailure(Platform::StoreOutcome, const std::string& detail);

    const EntrySettings& settings_;
    StateFeed& feed_;
    CatchUpThread& catchUp_;
    StoreCounters& counters_;
    Platform::StoreClient client_;
    Base::Random random_;
    std::atomic<bool> watching_ { true };
    mutable std::mutex responsivenessMutex_;
    /// Changed by this thread only, under the mutex.
    Steering::StoreResponsiveness responsiveness_;
    /// Whether the store no longer has the changes after the known revision.
    bool isHistoryGone_ { false };
    /// The highest era that a watch was answered in; a complete state of an earlier one is of no use.
    uint64_t watchedEra_ { 0 };
    /// The pages read so far, kept so that a rejected call repeats one page only.
    std::optional<Mirror::ChangeBatch> partialSnapshot_;
    Worker worker_;
};

}
