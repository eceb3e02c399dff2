#pragma once

#include <LibBase/Random.h>
#include <LibEntry/BeliefFeed.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/StoreCounters.h>
#include <LibEntry/Worker.h>
#include <LibSteering/Process/LoadReport.h>
#include <optional>
#include <platform/StoreClient.h>

namespace Entry {

/// Follows the store's records: reads everything once, then waits for changes, and starts anew when the store no longer
/// has the history.
class StoreThread {
public:
    StoreThread(const EntrySettings&, BeliefFeed&, StoreCounters&);

    void start();
    /// Whether this entry VM follows the store itself, or hears from peers. Any thread.
    void setWatching(bool);
    /// How the store answers this entry VM. Any thread.
    Steering::StoreView view() const { return view_.load(std::memory_order_relaxed); }
    void stop()
    {
        worker_.askToStop();
        client_.interrupt();
        worker_.stop();
    }

private:
    void run();
    /// Waits until this entry VM is to follow the store again.
    void rest();
    /// Whether the call succeeded.
    bool follow();
    /// Reads the next page of everything; takes over the whole with the last one.
    bool readNextPage();
    bool watch();
    void noteSuccess();
    void noteFailure(Platform::StoreOutcome, const std::string& detail);

    const EntrySettings& settings_;
    BeliefFeed& feed_;
    StoreCounters& counters_;
    Platform::StoreClient client_;
    Base::Random random_;
    std::atomic<bool> watching_ { true };
    std::atomic<Steering::StoreView> view_ { Steering::StoreView::NotWatching };
    /// The store has forgotten the changes after the revision held.
    bool isHistoryGone_ { false };
    /// The pages read so far. A refusal in the middle costs one call, not all of them again.
    std::optional<Mirror::ChangeBatch> partial_;
    uint32_t failures_ { 0 };
    Worker worker_;
};

}
