#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibControl/Message.h>
#include <LibControl/Process/TokenBucket.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Control {

/// Fetches a snapshot from several peers in parallel, part by part, within a byte budget. Received parts are kept when
/// a peer fails, so that the transfer resumes where it was interrupted.
class SnapshotFetch {
public:
    using Send = std::function<bool(EntryVmId to, MessageBody)>;

    /// bytesPerSecond: limit on the received bytes.
    SnapshotFetch(uint64_t seed, uint32_t bytesPerSecond);

    /// Whether a transfer is in progress.
    bool isActive() const { return isActive_; }
    /// Starts a transfer, or adds a peer to the current one.
    void addSource(EntryVmId);
    /// Requests missing parts and drops peers after repeated timeouts. The transfer ends when no peer is left.
    void tick(Base::TimePoint now, const Send&);
    /// Handles a received part. Returns whether all parts have arrived.
    bool handlePart(Base::TimePoint now, EntryVmId from, SnapshotPart);
    /// Returns all parts in order and ends the transfer. Must be called only after all parts have arrived.
    std::vector<std::string> takeParts();

private:
    struct PendingRequest {
        uint32_t part { 0 };
        Base::TimePoint deadline;
    };

    struct Source {
        EntryVmId id;
        std::optional<PendingRequest> pendingRequest;
        uint32_t failures { 0 };
    };

    Source* findSource(EntryVmId);
    std::optional<uint32_t> nextMissingPart() const;
    void requestPart(Base::TimePoint now, Source&, const Send&);
    void endTransfer();

    Base::Random random_;
    TokenBucket byteBudget_;
    bool isActive_ { false };
    Revision revision_;
    std::vector<std::string> parts_;
    uint32_t received_ { 0 };
    double meanPartBytes_ { 5000 };
    std::vector<Source> sources_;
};

}
