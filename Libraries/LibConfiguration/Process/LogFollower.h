#pragma once

#include <LibConfiguration/Change.h>
#include <LibStore/Store.h>
#include <memory>
#include <optional>
#include <string>

namespace Configuration {

/// Follows the change log: loads the newest stored snapshot, then reads and applies changes until the next key is
/// absent. Issues one store request at a time; uses no clock, socket or thread.
class LogFollower {
public:
    enum class State : uint8_t {
        Idle,
        Running,
        /// The end of the log was reached.
        CaughtUp,
        /// The store did not respond; the snapshot may be outdated.
        NoResponse,
        /// The log or snapshot contains something that cannot be applied, see failure().
        Failed,
    };

    /// Starts catching up and returns the first store request. With confirmEnd, changes are read by a compare-and-swap
    /// that cannot succeed: unlike a read, it never returns outdated values, so the end of the log is certain.
    Store::Request begin(bool confirmEnd);
    /// Handles the response to the last request. Returns the next request, or nothing once state() is final.
    std::optional<Store::Request> handleAnswer(const Store::Answer&);

    State state() const { return state_; }
    const std::string& failure() const { return failure_; }
    /// Whether a snapshot has been loaded; the empty one of a new log counts.
    bool isLoaded() const { return snapshot_ != nullptr; }
    /// The newest state; nullptr until loaded.
    SnapshotPointer snapshot() const { return snapshot_; }
    /// The manifest as last read.
    const SnapshotManifest& manifest() const { return manifest_; }

    /// Applies the next change, which was read or written outside of a catch-up. Fails with an error of decodeChange()
    /// or apply(); the snapshot is unchanged then.
    Base::ErrorOr<void> applyNextChange(std::string_view changeBytes);

private:
    enum class Step : uint8_t {
        Manifest,
        Part,
        Change,
    };

    Store::Request readManifest();
    Store::Request readNextChange();
    std::optional<Store::Request> handleManifest(const Store::Answer&);
    std::optional<Store::Request> handlePart(const Store::Answer&);
    std::optional<Store::Request> handleChange(const Store::Answer&);
    std::optional<Store::Request> reloadOrFail(const std::string& reason);
    std::optional<Store::Request> finish(State, std::string failure = {});

    State state_ { State::Idle };
    Step step_ { Step::Manifest };
    bool confirmsEnd_ { false };
    bool hasReloaded_ { false };
    std::string failure_;
    SnapshotManifest manifest_;
    std::vector<std::string> parts_;
    std::shared_ptr<Snapshot> snapshot_;
};

}
