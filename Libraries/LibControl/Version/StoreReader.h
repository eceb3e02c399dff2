#pragma once

#include <LibBase/Time.h>
#include <LibConfiguration/Change.h>
#include <LibControl/Process/StoreGateway.h>
#include <LibControl/Version/ChangeLog.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Control {

/// Reads the accepted changes from the store on a watcher, in the order of their revisions, and waits for the next one.
/// Before watching for changes, and every 30 s, it reads back the newest change in force on this node: a store that
/// lacks it or holds a different one (restored from an old backup, or a stale replica) is reported and ignored.
class StoreReader {
public:
    struct Hooks {
        /// A change was read. Returns whether the change, or a newer one, is now in force.
        std::function<bool(Base::TimePoint, const std::string& encoded)> onChange;
        /// A complete snapshot was read.
        std::function<void(Base::TimePoint, Configuration::SnapshotPointer)> onSnapshot;
        /// The store holds nothing newer than what is in force on this node.
        std::function<void(Base::TimePoint)> onConfirmed;
        /// The store lacks the newest change in force on this node.
        std::function<void()> onStoreBehind;
        /// The store holds a different change for the newest revision in force on this node.
        std::function<void()> onHistoryDiffers;
    };

    StoreReader(StoreGateway&, const ChangeLog&, Hooks);

    /// Continues reading if this node is a watcher; otherwise only completes pending calls.
    void tick(Base::TimePoint now, bool isWatcher);
    /// Whether changes of the store are being watched, after a comparison found no conflict with the state of this
    /// node.
    bool isWatchingChanges() const { return step_ == Step::WatchingChanges; }

private:
    enum class Step : uint8_t {
        /// The store must first be compared with the configuration in force.
        Comparing,
        ReadingManifest,
        ReadingParts,
        WatchingChanges,
    };

    void compareNewest(Base::TimePoint now);
    void handleComparison(Base::TimePoint now, Revision, const Store::Answer&);
    void readManifest(Base::TimePoint now);
    void handleManifest(Base::TimePoint now, Revision newestWhenSent, const Store::Answer&);
    void readPart(Base::TimePoint now);
    void handlePart(Base::TimePoint now, const Store::Answer&);
    void watchNextChange(Base::TimePoint now);
    void handleNextChange(Base::TimePoint now, Revision, const Store::Answer&);
    void callStore(Base::TimePoint now, Store::Request, StoreGateway::Handler);
    void restart(Base::TimePoint now);
    void reportStoreBehind(Base::TimePoint now);

    StoreGateway& store_;
    const ChangeLog& log_;
    Hooks hooks_;
    Step step_ { Step::Comparing };
    bool isCallPending_ { false };
    bool isStoreBehindReported_ { false };
    Base::TimePoint nextCallAt_ {};
    Base::TimePoint nextComparisonAt_ {};
    Configuration::SnapshotManifest manifest_;
    std::vector<std::string> parts_;
};

}
