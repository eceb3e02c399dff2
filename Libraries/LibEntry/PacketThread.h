#pragma once

#include <LibBase/Error.h>
#include <LibDatagram/SendBatch.h>
#include <LibDatagram/Wakeup.h>
#include <LibEntry/BeliefFeed.h>
#include <LibEntry/CatchUpThread.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/StoreThread.h>
#include <LibEntry/Worker.h>
#include <LibPeer/Authenticator.h>
#include <LibSteering/Process/WatcherChoice.h>
#include <LibSteering/SteeringDecider.h>
#include <platform/PacketCodec.h>

namespace Entry {

/// Figures of the packet thread, for metrics.
struct PacketFigures {
    Steering::SteeringStatistics steering;
    uint64_t received { 0 };
    uint64_t malformed { 0 };
    /// Packets that waited while the process did not run.
    uint64_t discarded { 0 };
    uint64_t sendFailures { 0 };
    uint64_t reportsSent { 0 };
    uint64_t reportsReceived { 0 };
    /// Reports with an unknown key, of an unknown sender, malformed, or overtaken by a newer one.
    uint64_t reportsIgnored { 0 };
    std::size_t flows { 0 };
    std::size_t servers { 0 };
    std::size_t peers { 0 };
    bool isReady { false };
    uint64_t configurationVersion { 0 };
};

/// Receives packets in batches, decides them and sends them on, all in one thread: with few packets a second for each
/// processor, every hop to another thread would cost more than the decision.
class PacketThread {
public:
    /// Unavailable when a socket cannot be bound.
    static Base::ErrorOr<std::unique_ptr<PacketThread>> create(
        const EntrySettings&, BeliefFeed&, CatchUpThread&, StoreThread&);
    ~PacketThread();
    PacketThread(const PacketThread&) = delete;
    PacketThread& operator=(const PacketThread&) = delete;

    void start();
    void stop();
    /// Any thread: events are in the feed.
    void wake() { wakeup_.wake(); }
    /// Any thread: no new callers from now on.
    void beginStop() { leaving_.store(true); }

    /// Whether callers may be sent here. Any thread.
    bool isReady() const { return ready_.load(std::memory_order_relaxed); }
    /// How long no packet has come. Any thread.
    Base::milliseconds quietFor() const;
    /// Figures of about a second ago at most. Any thread.
    PacketFigures figures() const;

private:
    static constexpr std::size_t batchSize = 32;
    static constexpr std::size_t bufferBytes
        = Platform::serverNumberBytes + Platform::packetHeaderBytes + Platform::packetDataBytes;

    struct Buffers;

    PacketThread(const EntrySettings&, BeliefFeed&, CatchUpThread&, StoreThread&, Peer::Authenticator, int dataSocket,
        int reportSocket, const Steering::SteeringDecider::Options&);

    void run();
    void takeBeliefs(Base::TimePoint now);
    /// Reads packets into the buffers; how many, or a negative number.
    int receiveBatch();
    /// Throws away what waits in the socket; how many packets.
    uint64_t discardWaiting();
    /// Whether more packets may be waiting.
    bool takePackets(Base::TimePoint now);
    void decidePacket(Base::TimePoint now, std::span<std::byte> buffer);
    void takeReports(Base::TimePoint now);
    /// Lets records be fetched from a peer that holds newer ones.
    void noteRevision(const Steering::LoadReport&);
    void sendReoffers(Base::TimePoint now);
    /// Decides who follows the store, and what this means for what is known of it.
    void chooseWatcher(Base::TimePoint now);
    void sendReports(Base::TimePoint now);
    void sendReport(const std::vector<Base::EntryVmId>& targets, std::span<const std::byte> datagram);
    void sleepUntilNextTimer(Base::TimePoint now);
    /// Logs that the process did not run for a while, and discards the packets of that time.
    void notePause();
    void publish(Base::TimePoint now);
    void transmit();

    const EntrySettings& settings_;
    BeliefFeed& feed_;
    CatchUpThread& catchUp_;
    StoreThread& store_;
    Peer::Authenticator authenticator_;
    int dataSocket_;
    int reportSocket_;
    Steering::SteeringDecider decider_;
    Steering::WatcherChoice watcherChoice_;
    uint64_t reportedRevision_ { 0 };
    std::unique_ptr<Buffers> buffers_;
    Datagram::SendBatch batch_;
    Datagram::Wakeup wakeup_;
    Worker worker_;
    std::atomic<bool> leaving_ { false };
    std::atomic<bool> ready_ { false };
    std::atomic<Base::TimePoint> lastPacketAt_ { Base::TimePoint {} };
    bool isStopApplied_ { false };
    uint64_t reportSequence_ { 0 };
    Base::TimePoint nextNearReport_ {};
    Base::TimePoint nextFarReport_ {};
    Base::TimePoint nextPublish_ {};
    /// On the clock that goes on while the machine is suspended.
    Base::TimePoint lastLoop_ {};
    Base::TimePoint startedAt_ {};
    /// Until when packets were read as they came: the round's begin, or the end of the planned sleep.
    Base::TimePoint attentiveUntil_ {};
    mutable std::mutex figuresMutex_;
    PacketFigures figures_;
    PacketFigures published_;
};

}
