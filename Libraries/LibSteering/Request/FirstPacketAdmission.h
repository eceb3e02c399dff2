#pragma once

#include <LibOverload/AdmissionQueue.h>
#include <LibOverload/RetryBudget.h>
#include <LibSteering/Events.h>
#include <LibSteering/Process/PeerLoads.h>
#include <LibSteering/Process/Room.h>
#include <LibSteering/Process/RoomShares.h>
#include <LibSteering/Request/ServerChoice.h>
#include <LibSteering/Version/RouteTable.h>
#include <functional>
#include <map>

namespace Steering {

/// A first packet that waits for a place at a server.
struct WaitingFirstPacket {
    struct SubqueueId {
        ServiceIndex service { 0 };
        /// Larger for more important classes, so that the queue lists these first.
        uint32_t urgency { 0 };

        auto operator<=>(const SubqueueId&) const = default;
    };

    Packet::FlowKey key;
    ServiceIndex service { 0 };
    uint32_t priority { 0 };
    uint32_t weight { 1 };
    /// When it is rejected unless a place was found.
    Base::TimePoint deadline {};
    uint32_t sequence { 0 };
    FirstPacketBytes bytes {};

    SubqueueId subqueueId() const { return { .service = service, .urgency = ~priority }; }
};

/// Admission of first packets while the room of their service is short: each needs one of this entry VM's own places at
/// a server, waits for one for a part of its latency objective, or is rejected. Silent while there is room, and for
/// routes without a latency objective.
class FirstPacketAdmission {
public:
    struct Options {
        Base::EntryVmId self;
        std::string failureDomain;
        /// Whether the server's load is known here; see PeerTopology::isLoadKnown.
        std::function<bool(BackendServerNumber, bool)> isLoadKnown;
    };

    FirstPacketAdmission(Options, ServerTable&, ServerChoice&, const PeerLoads&);

    /// Whether first packets of this class need a place at the service's servers now.
    bool isRequired(Base::TimePoint now, const TrafficClass&, ServiceIndex);
    /// Whether room was short when it was last determined.
    bool isShort(ServiceIndex) const;
    /// Whether the server may get a first packet: one of this entry VM's places there is free, or it is to be tried.
    bool hasPlace(Base::TimePoint now, const Server&) const;
    /// Whether the server can hold a further request: as above while its service's room is short, else by what is in
    /// flight there.
    bool hasRoom(Base::TimePoint now, const Server&) const;
    /// Whether a first packet may take a place before those that wait.
    bool isNext(ServiceIndex, uint32_t priority) const;
    /// A first packet of this priority goes to the server; counts what less important ones are owed.
    void recordAdmitted(Base::TimePoint now, const Server&, uint32_t priority);

    /// Lets a first packet wait. Returns the one to be rejected instead, if there are too many; it may be the new one.
    std::optional<WaitingFirstPacket> wait(
        Base::TimePoint now, const PacketView&, const TrafficClass&, ServiceIndex, std::span<const std::byte> bytes);
    bool isWaiting(const Packet::FlowKey& flow) const { return queue_.contains(flow); }
    /// The flow's first packet no longer waits.
    void cancel(const Packet::FlowKey& flow) { queue_.remove(flow); }
    /// A first packet was rejected for want of room.
    void recordRejected(ServiceIndex);
    std::vector<WaitingFirstPacket> removeExpired(Base::TimePoint now) { return queue_.removeExpired(now); }
    /// The first packets that are offered the next place, one for each class of each service; most entitled first.
    std::vector<WaitingFirstPacket> candidates() const;
    Base::TimePoint nextDeadline() const { return queue_.nextDeadline(); }
    std::size_t waitingCount() const { return queue_.size(); }

    /// An attempt at a server of the service was answered by a handshake, or timed out.
    void recordOutcome(ServiceIndex, bool isAnswered);

    /// Counts a first attempt, which earns a part of a hedged one.
    void recordFirstAttempt(ServiceIndex);
    /// Whether a hedged attempt may be made although the attempted server responds to others.
    bool mayHedge(ServiceIndex);

    /// Determines the room of services that are short anew, so that a shortage ends without first packets, too.
    void refresh(Base::TimePoint now);
    /// This entry VM's demand at services whose room is short, for its load reports.
    std::vector<ServiceDemand> demands() const;
    /// The room when it was last determined, summed over the services.
    Room::Load totalLoad() const;
    std::size_t shortServiceCount() const;
    const Room* roomOf(ServiceIndex) const;

private:
    struct ServiceRoom {
        Room room;
        RoomShares::OwnPlaces ownPlaces;
        uint32_t ownPlaceCount { 0 };
        uint32_t ownInFlight { 0 };
        /// Moving sum of rejected first packets, halved with each update.
        uint32_t recentlyRejected { 0 };
        uint32_t demand { 0 };
        Base::TimePoint dividedAt {};
        /// When a silent server was last tried.
        Base::TimePoint silentTriedAt {};
        /// Moving average of the share of attempts that timed out.
        double silentShare { 0 };
        /// Admissions of more important first packets since a less important one that waits was admitted.
        uint32_t admittedAhead { 0 };
    };

    ServiceRoom& updated(Base::TimePoint now, ServiceIndex);
    void divide(Base::TimePoint now, ServiceIndex, ServiceRoom&);
    uint32_t waitingCountOf(ServiceIndex) const;
    /// Whether so many servers are silent that those which have room are not known. Places at them would keep callers
    /// waiting; entries of servers that have ended disappear within seconds.
    static bool isRoomUnknown(const ServiceRoom&);
    bool isCounted(Base::TimePoint now, const Server&) const;

    Options options_;
    uint64_t ownDomainHash_;
    DomainIndex ownDomain_;
    ServerTable& servers_;
    ServerChoice& choice_;
    const PeerLoads& peerLoads_;
    std::map<ServiceIndex, ServiceRoom> rooms_;
    Overload::AdmissionQueue<WaitingFirstPacket> queue_;
    Overload::RetryBudget<ServiceIndex> hedgeBudget_;
};

}
