#pragma once

/// The decisions of one entry VM on a fabric that carries flow tokens: where each packet is forwarded, when a hedged
/// connection attempt is made at a further backend server, and whether callers should be sent here at all. Uses no
/// clock, socket or thread: time is passed in with each event, actions are returned. Must be used by one thread.

#include <LibSteering/Connection/FlowProgress.h>
#include <LibSteering/Connection/FlowTable.h>
#include <LibSteering/Connection/StalledFlows.h>
#include <LibSteering/Connection/TokenResolver.h>
#include <LibSteering/FlowDecision.h>
#include <LibSteering/Process/DomainReachability.h>
#include <LibSteering/Process/EntryVmPresence.h>
#include <LibSteering/Process/PeerLoads.h>
#include <LibSteering/Process/PeerTopology.h>
#include <LibSteering/Process/Readiness.h>
#include <LibSteering/Process/ResponseQuality.h>
#include <LibSteering/Process/RestartSuspicion.h>
#include <LibSteering/Process/RestoredRecords.h>
#include <LibSteering/Process/ServerClaims.h>
#include <LibSteering/Process/ServerTable.h>
#include <LibSteering/Process/ServiceTimes.h>
#include <LibSteering/Process/WarmUpAllowance.h>
#include <LibSteering/Request/FirstPacketAdmission.h>
#include <LibSteering/Request/HedgeQueue.h>
#include <LibSteering/Request/ServerChoice.h>
#include <LibSteering/Request/ShareChoice.h>
#include <LibSteering/Version/RouteTable.h>
#include <array>
#include <functional>
#include <map>

namespace Steering {

/// Upper bounds of the buckets of handshake times.
inline constexpr std::array<Base::milliseconds, 8> handshakeBounds { Base::milliseconds(5), Base::milliseconds(10),
    Base::milliseconds(20), Base::milliseconds(40), Base::milliseconds(80), Base::milliseconds(200),
    Base::milliseconds(600), Base::milliseconds(1400) };

/// Priorities that are counted apart; the last one stands for all larger numbers.
inline constexpr std::size_t noRoomPriorityCount = 4;

/// Totals since the start.
struct SteeringStatistics {
    uint64_t forwarded { 0 };
    uint64_t firstPackets { 0 };
    /// First packets that callers have retransmitted.
    uint64_t retransmissions { 0 };
    /// Hedged connection attempts that this node made.
    uint64_t hedgedAttempts { 0 };
    uint64_t opened { 0 };
    /// Flows whose handshake was never completed.
    uint64_t neverOpened { 0 };
    uint64_t attemptTimeouts { 0 };
    uint64_t resets { 0 };
    /// Probes that a backend server's host did not answer.
    uint64_t failedProbes { 0 };
    /// Histogram of the times from first packets to completed handshakes; the last bucket has no upper bound.
    std::array<uint64_t, handshakeBounds.size() + 1> handshakes {};
    Base::microseconds handshakeSum { 0 };
    uint64_t untracked { 0 };
    /// Responses rated as failures that started a back-off period of their server; see ResponseQuality.
    uint64_t shortResponses { 0 };
    std::array<uint64_t, refusalCount> refused {};
    std::array<uint64_t, 3> chosen {};
    /// First packets that got a place while room was short, at once or after waiting.
    uint64_t admittedWhileShort { 0 };
    uint64_t waitedForRoom { 0 };
    /// First packets rejected for want of room, by the priority of their route.
    std::array<uint64_t, noRoomPriorityCount> noRoomByPriority {};
    /// Hedged attempts not made, since the attempted server responded to others.
    uint64_t hedgesDenied { 0 };
    /// Chosen servers, by why their service is not that of the flow's share; None if it is.
    std::array<uint64_t, shareDiversionCount> shareDiversions {};
};

class SteeringDecider {
public:
    struct Options {
        Base::EntryVmId self;
        std::string failureDomain;
        /// Capacity of this entry VM's link, in Mbit/s.
        uint64_t linkMegabits { 0 };
        /// Region of each failure domain.
        std::map<std::string, std::string> regions;
        double warmUpOvershoot { 1.0 };
        double warmUpSlack { 0 };
        Base::milliseconds flowLifetime { 60'000 };
        std::size_t maximumFlows { 200'000 };
        uint64_t seed { 1 };
        /// Called for each decision about a flow; may be empty.
        std::function<void(const FlowDecision&)> onDecision;
        /// Called for an entry that is not put to use, since another one has its number; may be empty.
        std::function<void(const BackendServerEntry&, const BackendServerEntry& inUse)> onContestedServer {};
    };

    explicit SteeringDecider(const Options&);
    SteeringDecider(const SteeringDecider&) = delete;
    SteeringDecider& operator=(const SteeringDecider&) = delete;

    void handle(Base::TimePoint now, const StateEvent&);
    /// bytes: the packet as received, kept for a hedged connection attempt if it opens a flow.
    Verdict decide(Base::TimePoint now, const PacketView&, std::span<const std::byte> bytes);
    /// The host read no packets for this long, since it was busy or did not run. Responses that arrived meanwhile are
    /// still unread, so that response timeouts exclude that time.
    void recordStall(Base::nanoseconds time) { totalStallTime_ += time; }
    /// Does what is due, and returns the hedged connection attempts and the first packets that have waited, to be sent.
    std::vector<HedgedAttempt> handleTimers(Base::TimePoint now);
    /// Resets for the callers of open flows whose servers turned out to be gone, and of first packets that waited for
    /// room in vain. Call after handleTimers and handleProbe.
    std::vector<FlowReset> takeResets();
    /// Probes to be made. Each must be answered by a call of handleProbe.
    std::vector<ProbeRequest> takeProbes() { return stalledFlows_.takeProbes(); }
    void handleProbe(Base::TimePoint now, const ServerProbed&);
    /// When handleTimers must be called again at the latest.
    Base::TimePoint nextTimer(Base::TimePoint now) const;

    /// Returns false if the report was ignored; see PeerLoads::accept.
    bool acceptReport(Base::TimePoint now, const LoadReport& report);
    /// Requests that this node has in flight, by server.
    std::vector<ServerLoad> ownLoads();
    /// Servers that may have started again unseen by the store, by this node's probes; see RestartSuspicion.
    std::vector<BackendServerNumber> possiblyRestarted(Base::TimePoint now) { return restarts_.ownSuspects(now); }
    /// Increases with each further one.
    uint64_t restartSuspicionCount() const { return restarts_.suspicionCount(); }
    /// The room that this node needs at services whose room is short.
    std::vector<ServiceDemand> ownDemands() const { return admission_.demands(); }
    const FirstPacketAdmission& admission() const { return admission_; }
    /// Servers that this node has measured to differ from their service, a few in turn for each report.
    std::vector<ServerSpeed> takeReportedSpeeds() { return serviceTimes_.takeReportedSpeeds(); }
    const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>& peers() const { return peerLoads_.peers(); }
    /// The peers to report to.
    const PeerTopology& topology() const { return topology_; }

    /// Whether a configuration and all other records of the store have been received.
    bool isComplete() const { return isSynchronized_ && configuration_ != nullptr; }
    void stop() { readiness_.setStopping(); }
    bool isReady(Base::TimePoint now) const { return readiness_.isReady(now); }
    bool isIsolated(Base::TimePoint now) const { return readiness_.isIsolated(now); }
    bool isOutnumbered() const { return readiness_.isOutnumbered(); }
    uint64_t configurationVersion() const { return configuration_ ? configuration_->version : 0; }
    const SteeringStatistics& statistics() const { return statistics_; }
    std::size_t flowCount() const { return flows_.size(); }
    std::size_t serverCount() const { return servers_.size(); }
    std::size_t contestingEntryCount() const { return claims_.size(); }

private:
    using CompiledRoute = RouteTable::CompiledRoute;

    void apply(Base::TimePoint now, const ConfigurationChanged&);
    void apply(Base::TimePoint now, const ServerListed&);
    void apply(Base::TimePoint now, const ServerUnlisted&);
    void apply(Base::TimePoint now, const DomainEvacuation&);
    void apply(Base::TimePoint now, const PeerListed&);
    void apply(Base::TimePoint now, const PeerUnlisted&);
    void apply(Base::TimePoint now, const StoreRestored&);
    void apply(Base::TimePoint now, const StateSynchronized&);
    void apply(Base::TimePoint now, const StoreReachable&);
    /// Applies the entries that take the place of others with the same number.
    void applyDueClaims(Base::TimePoint now);
    void updateReadiness(Base::TimePoint now);
    Base::milliseconds warmUpOf(const std::string& service) const;

    Verdict decideFirstPacket(
        Base::TimePoint now, const PacketView&, const CompiledRoute&, std::span<const std::byte> bytes);
    /// The record of a later packet's flow. Creates one if the packet carries a request of a flow that another node
    /// opened and its token is confirmed; returns nullptr if there is none.
    FlowRecord* recordFor(Base::TimePoint now, const PacketView&, const CompiledRoute&);
    Verdict decideLaterPacket(Base::TimePoint now, const PacketView&, const CompiledRoute&);
    void completeHandshake(Base::TimePoint now, FlowRecord&, const PacketView&, ServerIndex);
    /// Updates the state of an open or ended flow from a packet of its caller.
    void trackOpenFlow(Base::TimePoint now, FlowRecord&, const PacketView&);
    /// The response to the flow's latest request has begun.
    void recordServiceTime(Base::TimePoint now, const Base::Ipv4Endpoint& service, const FlowRecord&);
    /// Stops tracking the flow's request, whose caller gets a reset.
    void abandonRequest(FlowRecord&);
    /// needsPlace: a server with a place that is free is required, since room is short.
    std::optional<ShareChoice::ShareResult> choose(
        Base::TimePoint now, const Packet::FlowKey&, const CompiledRoute&, const FlowRecord&, bool needsPlace);
    bool isInAllowedRegion(const CompiledRoute&, const Server&) const;
    /// Whether new flows of the route may go to any of the service's servers.
    bool hasUsableServer(const CompiledRoute&, ServiceIndex) const;
    Verdict decideNewFlow(
        Base::TimePoint now, const PacketView&, const CompiledRoute&, FlowRecord&, std::span<const std::byte> bytes);
    Verdict decideRetransmission(
        Base::TimePoint now, const PacketView&, const CompiledRoute&, FlowRecord&, std::span<const std::byte> bytes);
    Verdict waitForRoom(
        Base::TimePoint now, const PacketView&, const TrafficClass&, ServiceIndex, std::span<const std::byte> bytes);
    /// Counts and logs the rejection of a first packet that found no room.
    void recordNoRoom(Base::TimePoint now, const WaitingFirstPacket&);
    void rejectWaiting(Base::TimePoint now, const WaitingFirstPacket&);
    void dispatchWaiting(Base::TimePoint now, std::vector<HedgedAttempt>& dueAttempts);
    /// Returns whether the first packet no longer waits.
    bool dispatch(Base::TimePoint now, const WaitingFirstPacket&, std::vector<HedgedAttempt>& dueAttempts);
    /// Whether the server that was attempted last has responded to another flow since.
    bool isServerResponding(const FlowRecord&) const;
    Verdict startAttempt(Base::TimePoint now, const Packet::FlowKey&, FlowRecord&, const Choice&);
    Verdict forwardTo(const Server&, FlowToken);
    Verdict forwardFirstPacket(const Server&, const Packet::FlowKey&, const FlowRecord&);
    Verdict refuse(const PacketView&, Refusal, VerdictKind);
    void recordAttemptTimeout(Base::TimePoint now, const FlowRecord&);
    std::optional<HedgedAttempt> hedge(Base::TimePoint now, const HedgeQueue::Pending&);
    bool checkRecord(Base::TimePoint now, const Packet::FlowKey&, FlowRecord&);
    void reportDecision(FlowDecision::Kind, const Packet::FlowKey&, const FlowRecord&, Base::TimePoint now,
        const ShareChoice::ShareResult*);

    Options options_;
    ServerTable servers_;
    ServerClaims claims_;
    RestoredRecords restoredRecords_;
    DomainReachability reachability_;
    WarmUpAllowance allowance_;
    PeerLoads peerLoads_;
    EntryVmPresence presence_;
    PeerTopology topology_;
    /// The list of peers has changed since topology_ was computed.
    bool isTopologyOutdated_ { false };
    ServerChoice choice_;
    FirstPacketAdmission admission_;
    /// Resets of first packets that waited in vain.
    std::vector<FlowReset> rejected_;
    ShareChoice shareChoice_;
    FlowTable flows_;
    TokenResolver tokens_;
    ResponseQuality responseQuality_;
    ServiceTimes serviceTimes_;
    FlowProgress progress_;
    StalledFlows stalledFlows_;
    RestartSuspicion restarts_;
    Readiness readiness_;
    bool isSynchronized_ { false };
    std::shared_ptr<const Configuration> configuration_;
    RouteTable routes_;
    std::vector<Base::EntryVmId> peerIds_;
    HedgeQueue hedges_;
    Base::nanoseconds totalStallTime_ { 0 };
    Base::TimePoint nextExpiry_ {};
    SteeringStatistics statistics_;
};

}
