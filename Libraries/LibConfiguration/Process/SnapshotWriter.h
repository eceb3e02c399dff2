#pragma once

#include <LibConfiguration/Change.h>
#include <LibStore/Store.h>
#include <deque>
#include <optional>
#include <string>

namespace Configuration {

/// Writes a snapshot's parts and then its manifest, deletes the parts of the snapshot before the previous one, and
/// replaces changes older than the retention by compactedChangeMarker(). Issues one store request at a time. Several
/// endpoints may do this concurrently: equal snapshots are encoded to equal bytes, and the manifest's revision only
/// increases.
class SnapshotWriter {
public:
    struct Options {
        /// Number of changes between two snapshots.
        uint64_t interval { 256 };
        /// Number of changes that remain readable as history.
        uint64_t retention { 100'000 };
        /// Maximum number of changes replaced by the marker per snapshot.
        uint64_t maximumCompactedPerSnapshot { 512 };
        /// Maximum size of one part.
        std::size_t partBytes { 900'000 };
    };

    explicit SnapshotWriter(const Options&);

    /// Whether a snapshot of this revision is due according to the last observed manifest, and none is being written.
    bool isDue(Revision) const;
    /// Starts writing and returns the first store request. isDue() must be true.
    Store::Request begin(const SnapshotPointer&);
    /// Handles the response to the last request. Returns the next request, or nothing if the snapshot was written or
    /// abandoned.
    std::optional<Store::Request> handleAnswer(const Store::Answer&);

    bool isRunning() const { return step_ != Step::Idle; }
    /// Updates the known manifest with one that was read elsewhere; older ones are ignored.
    void observeManifest(const SnapshotManifest&);
    /// Number of snapshots whose manifest was written.
    uint64_t writtenCount() const { return writtenCount_; }

private:
    enum class Step : uint8_t {
        Idle,
        ReadManifest,
        WritePart,
        WriteManifest,
        CleanUp,
    };

    std::optional<Store::Request> stop();
    std::optional<Store::Request> handleManifest(const Store::Answer&);
    std::optional<Store::Request> handlePartWriteAnswer(const Store::Answer&);
    std::optional<Store::Request> handleManifestWriteAnswer(const Store::Answer&);
    std::optional<Store::Request> nextCleanUpRequest();
    Store::Request writePart();
    Store::Request writeManifest();
    void queueCleanUp(const SnapshotManifest& former);

    Options options_;
    Step step_ { Step::Idle };
    SnapshotPointer snapshot_;
    std::vector<std::string> parts_;
    uint32_t nextPart_ { 0 };
    SnapshotManifest manifest_;
    SnapshotManifest newManifest_;
    Store::KeyVersion manifestVersion_ { 0 };
    std::deque<Store::Request> cleanUp_;
    uint64_t writtenCount_ { 0 };
};

}
