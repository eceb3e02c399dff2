#pragma once

#include <LibBase/Random.h>
#include <LibEntry/BeliefFeed.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/StoreCounters.h>
#include <LibEntry/Worker.h>
#include <platform/StoreClient.h>

namespace Entry {

/// Follows the store's records: reads everything once, then waits for changes, and starts anew when the store no longer
/// has the history.
class StoreThread {
public:
    StoreThread(const EntrySettings&, BeliefFeed&, StoreCounters&);

    void start();
    void stop()
    {
        worker_.askToStop();
        client_.interrupt();
        worker_.stop();
    }

private:
    void run();
    /// Whether the call succeeded.
    bool follow();
    void noteFailure(Platform::StoreOutcome, const std::string& detail);

    const EntrySettings& settings_;
    BeliefFeed& feed_;
    StoreCounters& counters_;
    Platform::StoreClient client_;
    Base::Random random_;
    /// The store itself has been read as a whole; what peers told is then no longer needed to start from.
    bool hasRead_ { false };
    uint32_t failures_ { 0 };
    Worker worker_;
};

}
