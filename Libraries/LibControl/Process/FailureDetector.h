#pragma once

#include <LibBase/Identifiers.h>
#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace Control {

using Base::EntryVmId;

/// Action: sends a ping to a member.
struct SendPing {
    EntryVmId to;
    uint64_t sequence { 0 };
};

/// Action: asks a relay to ping a member.
struct SendPingRequest {
    EntryVmId to;
    uint64_t sequence { 0 };
    EntryVmId target;
};

/// Action: responds to a PingRequest with whether the target responded in time.
struct SendIndirectResult {
    EntryVmId to;
    uint64_t sequence { 0 };
    bool reached { false };
};

/// Action: a member responded neither directly nor through relays.
struct RaiseSuspicion {
    EntryVmId id;
};

/// Action: a suspicion was not refuted in time.
struct ConfirmFailure {
    EntryVmId id;
};

using ProbeAction = std::variant<SendPing, SendPingRequest, SendIndirectResult, RaiseSuspicion, ConfirmFailure>;

/// Failure detection within a group of members, after SWIM (DSN 2002) with Lifeguard's local health (DSN-W 2018). Each
/// protocol period one member is pinged directly, pinged again, and then pinged through relays, so that one-way loss on
/// a single path is tolerated and the cost does not depend on the size of the group. A detector that was paused, or
/// that receives no messages, raises no suspicions. Not thread-safe.
class FailureDetector {
public:
    struct Options {
        EntryVmId self;
        uint64_t seed { 1 };
        Base::milliseconds protocolPeriod { 1000 };
        /// Smaller groups use a shorter period, in proportion to their size, down to minimumPeriod.
        std::size_t fullPeriodGroupSize { 10 };
        Base::milliseconds minimumPeriod { 500 };
        /// Time without a response after which a ping is repeated. This time and indirectProbeDelay shrink with the
        /// period.
        Base::milliseconds pingRetryDelay { 200 };
        /// Time without a response after which relays are asked to ping the member.
        Base::milliseconds indirectProbeDelay { 400 };
        /// Time that a suspected member has to refute a suspicion raised by a single member.
        Base::milliseconds maximumSuspicionTimeout { 7000 };
        /// The same, once enough other members suspect it.
        Base::milliseconds minimumSuspicionTimeout { 4000 };
        /// A gap between ticks of at least this length counts as a pause of this process.
        Base::milliseconds pauseThreshold { 500 };
    };

    explicit FailureDetector(const Options&);

    /// group: the live members to probe, excluding this node; sorted by id. relays: live members that may relay pings.
    void tick(Base::TimePoint now, const std::vector<EntryVmId>& group, const std::vector<EntryVmId>& relays,
        std::vector<ProbeAction>&);
    /// Handles a response to the ping or ping request with this sequence number.
    void handleAcknowledge(
        Base::TimePoint now, EntryVmId from, uint64_t sequence, bool reached, std::vector<ProbeAction>&);
    /// Handles another member's request to ping a target.
    void handlePingRequest(
        Base::TimePoint now, EntryVmId requester, uint64_t sequence, EntryVmId target, std::vector<ProbeAction>&);
    /// Records that a member is suspected; starts or shortens its time to refute.
    void recordSuspicion(Base::TimePoint now, EntryVmId id, EntryVmId accuser);
    /// Discards the suspicion of a member that is alive or has been removed.
    void clearSuspicion(EntryVmId id);
    /// Records that other members suspected this node, which is then probably slow itself.
    void recordSelfSuspected() { increaseHealthScore(1); }
    /// Records that any message was received from another member.
    void recordMessageReceived(Base::TimePoint now) { lastReceivedAt_ = now; }
    /// A new sequence number, also for pings that are not part of failure detection.
    uint64_t nextSequenceNumber() { return ++sequence_; }
    /// Local health: zero when healthy. Probe times grow with it.
    uint32_t healthScore() const { return healthScore_; }
    /// Number of detected pauses of this process.
    uint64_t pauses() const { return pauses_; }

private:
    struct Probe {
        EntryVmId target;
        uint64_t sequence { 0 };
        Base::TimePoint startedAt;
        bool isRetried { false };
        uint32_t relaysRequested { 0 };
        uint32_t relaysResponded { 0 };
    };

    struct IndirectProbe {
        EntryVmId requester;
        uint64_t requesterSequence { 0 };
        Base::TimePoint startedAt;
    };

    struct Suspicion {
        Base::TimePoint startedAt;
        std::set<EntryVmId> accusers;
    };

    bool detectPause(Base::TimePoint now);
    void startProbe(Base::TimePoint now, const std::vector<EntryVmId>& group, std::vector<ProbeAction>&);
    void advanceProbe(Base::TimePoint now, const std::vector<EntryVmId>& relays, std::vector<ProbeAction>&);
    void requestIndirectProbes(const std::vector<EntryVmId>& relays, std::vector<ProbeAction>&);
    void concludeProbe(Base::TimePoint now, std::vector<ProbeAction>&);
    void expireIndirectProbes(Base::TimePoint now, std::vector<ProbeAction>&);
    void confirmFailures(Base::TimePoint now, std::vector<ProbeAction>&);
    Base::nanoseconds suspicionTimeout(const Suspicion&) const;
    /// A time shortened in proportion to the current protocol period.
    Base::nanoseconds scaledByPeriod(Base::milliseconds) const;
    /// The same, multiplied by the local health factor.
    Base::nanoseconds scaledByHealth(Base::milliseconds) const;
    void updatePeriod(std::size_t groupSize);
    void increaseHealthScore(uint32_t amount);
    std::optional<EntryVmId> nextTarget(const std::vector<EntryVmId>& group);

    Options options_;
    /// Time between probes for the current size of the group.
    Base::milliseconds protocolPeriod_;
    Base::Random random_;
    uint64_t sequence_ { 0 };
    std::optional<Probe> probe_;
    Base::TimePoint nextProbeAt_ {};
    std::vector<EntryVmId> probeOrder_;
    std::map<uint64_t, IndirectProbe> indirectProbes_;
    std::map<EntryVmId, Suspicion> suspicions_;
    std::optional<Base::TimePoint> lastTickAt_;
    std::optional<Base::TimePoint> lastReceivedAt_;
    uint32_t healthScore_ { 0 };
    uint64_t pauses_ { 0 };
};

}
