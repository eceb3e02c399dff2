#pragma once

#include <LibBase/Error.h>
#include <LibDatagram/SendBatch.h>
#include <LibDatagram/Wakeup.h>
#include <LibEntry/CatchUpThread.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/ProbeThread.h>
#include <LibEntry/StateFeed.h>
#include <LibEntry/StoreThread.h>
#include <LibEntry/Worker.h>
#include <LibPeer/Authenticator.h>
#include <LibSteering/Process/WatcherChoice.h>
#include <LibSteering/SteeringDecider.h>
#include <platform/PacketCodec.h>

namespace Entry {

/// Counters and gauges of the packet thread, for metrics.
struct PacketStatistics {
    Steering::SteeringStatistics steering;
    uint64_t received { 0 };
    uint64_t malformed { 0 };
    /// Packets that were queued while the process did not run.
    uint64_t discarded { 0 };
    uint64_t sendFailures { 0 };
    uint64_t reportsSent { 0 };
    uint64_t reportsReceived { 0 };
    /// Reports that were unauthenticated, from an unknown sender, malformed or older than the last one.
    uint64_t reportsIgnored { 0 };
    /// Probes of backend servers; skipped: too many were waiting.
    uint64_t probes { 0 };
    uint64_t probesSkipped { 0 };
    /// The room of all services together; see Steering::FirstPacketAdmission.
    Steering::Room::Load room;
    std::size_t shortServices { 0 };
    std::size_t waiting { 0 };
    std::size_t flows { 0 };
    std::size_t servers { 0 };
    /// Backend servers' entries that are not in use; see ServerClaims.
    std::size_t contestingEntries { 0 };
    std::size_t peers { 0 };
    bool isReady { false };
    uint64_t configurationVersion { 0 };
};

/// Receives packets in batches, decides on them and forwards them, all in one thread: at the low packet rate for each
/// processor, passing packets to another thread would cost more than the decision.
class PacketThread {
public:
    /// Returns ErrorCode::Unavailable if a socket cannot be bound.
    static Base::ErrorOr<std::unique_ptr<PacketThread>> create(
        const EntrySettings&, StateFeed&, CatchUpThread&, StoreThread&);
    ~PacketThread();
    PacketThread(const PacketThread&) = delete;
    PacketThread& operator=(const PacketThread&) = delete;

    void start();
    void stop();
    /// Wakes the thread after events were added to the feed. Any thread.
    void wake() { wakeup_.wake(); }
    /// Makes the entry VM report that it is not ready for callers. Any thread.
    void beginStop() { leaving_.store(true); }

    /// Whether callers may be sent to this entry VM. Any thread.
    bool isReady() const { return ready_.load(std::memory_order_relaxed); }
    /// Time since the last packet was received. Any thread.
    Base::milliseconds timeSinceLastPacket() const;
    /// Statistics that are at most about one second old. Any thread.
    PacketStatistics statistics() const;

private:
    static constexpr std::size_t batchSize = 32;
    static constexpr std::size_t bufferBytes
        = Platform::serverNumberBytes + Platform::packetHeaderBytes + Platform::packetDataBytes;

    struct Buffers;

    PacketThread(const EntrySettings&, StateFeed&, CatchUpThread&, StoreThread&, Peer::Authenticator, int dataSocket,
        int reportSocket, const Steering::SteeringDecider::Options&);

    void run();
    void applyStateEvents(Base::TimePoint now);
    /// Receives packets into the buffers. Returns their number, or a negative number if there are none.
    int receiveBatch();
    /// Discards the packets queued in the socket and returns their number.
    uint64_t discardQueuedPackets();
    /// Processes one batch. Returns whether more packets may be queued.
    bool processPackets(Base::TimePoint now);
    void decidePacket(Base::TimePoint now, std::span<std::byte> buffer);
    void recordMalformed(std::size_t bytes);
    /// Adds a reset to the batch to be transmitted.
    void addReset(const Steering::PacketView&);
    void processReports(Base::TimePoint now);
    /// Makes the sender a candidate to fetch records from if its revision is newer.
    void updateCatchUpPeer(Base::TimePoint now, const Steering::LoadReport&);
    void sendHedgedAttempts(Base::TimePoint now);
    /// Exchanges probes and their results with the probe thread.
    void exchangeProbes(Base::TimePoint now);
    /// Resets open flows whose backend servers are gone.
    void sendResets();
    /// Decides whether this entry VM watches the store, and derives the store's reachability from peers if it does not.
    void updateWatcherRole(Base::TimePoint now);
    void sendReports(Base::TimePoint now);
    void sendReport(const std::vector<Base::EntryVmId>& targets, std::span<const std::byte> datagram);
    void sleepUntilNextTimer(Base::TimePoint now);
    /// Discards queued packets and logs the pause if the process did not run for longer than processPauseThreshold.
    void detectProcessPause();
    void publishStatistics(Base::TimePoint now);
    void transmit();

    const EntrySettings& settings_;
    StateFeed& feed_;
    CatchUpThread& catchUp_;
    StoreThread& store_;
    Peer::Authenticator authenticator_;
    int dataSocket_;
    int reportSocket_;
    Steering::SteeringDecider decider_;
    Steering::WatcherChoice watcherChoice_;
    Base::StorePosition reportedPosition_;
    uint64_t reportedSuspicionCount_ { 0 };
    Steering::StoreView reportedView_ { Steering::StoreView::NotWatching };
    std::unique_ptr<Buffers> buffers_;
    Datagram::SendBatch batch_;
    Datagram::Wakeup wakeup_;
    ProbeThread probes_;
    Worker worker_;
    std::atomic<bool> leaving_ { false };
    std::atomic<bool> ready_ { false };
    std::atomic<Base::TimePoint> lastPacketAt_ { Base::TimePoint {} };
    bool isDeciderStopped_ { false };
    uint64_t reportSequence_ { 0 };
    Base::TimePoint nextNearReport_ {};
    Base::TimePoint nextFarReport_ {};
    Base::TimePoint nextPublish_ {};
    /// Start of the last round, on CLOCK_BOOTTIME, which advances while the machine is suspended.
    Base::TimePoint lastRoundAt_ {};
    Base::TimePoint startedAt_ {};
    /// When the first complete state was applied.
    std::optional<Base::TimePoint> synchronizedAt_;
    /// When the next round should begin at the latest; a later begin means that received packets were left unread.
    Base::TimePoint expectedRoundStart_ {};
    mutable std::mutex statisticsMutex_;
    PacketStatistics statistics_;
    PacketStatistics publishedStatistics_;
};

}
