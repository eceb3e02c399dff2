#pragma once

#include <LibFlow/Process/ActionWriter.h>
#include <LibFlow/Request/Admission.h>
#include <LibFlow/Request/PacketContext.h>
#include <LibFlow/Request/QueuedPacket.h>
#include <LibFlow/Request/RetainedPackets.h>
#include <LibOverload/RetryBudget.h>
#include <unordered_map>

namespace Flow {

/// Handles first packets at the balancer that owns the flow: admits, spills to a peer, queues, refuses and retries
/// them.
class FirstPacketHandler {
public:
    FirstPacketHandler(DeciderState&, const Placement&, LoadView&, const Admission&);

    /// Decides the first packet of a flow without a record. preferred: the backend server given by the bucket table.
    void decide(TimePoint now, const PacketContext&, BackendServerId preferred, ActionWriter&);
    /// Decides a first packet that another balancer spilled for lack of capacity.
    void decideSpilled(TimePoint now, const PacketContext&, ActionWriter&);
    /// A peer returned a spilled packet for lack of capacity: no more flows are spilled to it until its next load
    /// digest.
    void recordPeerExhausted(EntryVmId peer, const PacketContext&);

    /// Queues a payload packet of a local flow until a slot is free; drops it if the flow already has a queued packet.
    void queueForSlot(TimePoint now, const PacketContext&, BackendServerId, ActionWriter&);
    /// Removes and drops the queued packet of a flow that its caller has aborted.
    void cancel(const Packet::FlowKey&, ActionWriter&);

    /// Releases the copy of the flow's first packet, if there is one: it needs no retry.
    void releaseCopy(const Packet::FlowKey&, FlowRecord&, ActionWriter&);
    /// Updates the service's smoothed response time.
    void recordResponseTime(ServiceId, Base::milliseconds);
    /// Retries a first packet that its backend server refused. Returns whether it was sent to another one.
    bool retryRefused(TimePoint now, const AddressIndex::Entry&, FlowRecord&, ActionWriter&);

    /// Forwards queued packets to the balancers that own them now, because this one is leaving.
    void handOverQueue(TimePoint now, ActionWriter&);
    /// Dispatches queued packets for which there is capacity.
    void dispatchQueued(TimePoint now, ActionWriter&);
    /// Expires queued packets and retries first packets that got no response.
    void handleTick(TimePoint now, ActionWriter&);

private:
    struct RecentRefusal {
        TimePoint until {};
        RefusalReason reason { RefusalReason::NoRoom };
    };

    bool spill(TimePoint now, const PacketContext&, const LoadView::SpillTarget&, ActionWriter&);
    void admit(TimePoint now, const AdmissionQueue::Entry&, const AddressIndex::Entry&, BackendServerId, ActionWriter&);
    /// Adds an entry to the queue; an entry displaced by it is dropped or refused.
    void addToQueue(TimePoint, const AdmissionQueue::Entry&, ActionWriter&);
    void enqueue(TimePoint now, const PacketContext&, ActionWriter&);
    void refuse(TimePoint now, const AdmissionQueue::Entry&, RefusalReason, ActionWriter&);
    /// Whether a duplicate of the packet may have been handled by a balancer whose records were lost.
    bool mayHaveReachedServer(TimePoint now, const AdmissionQueue::Entry&) const;
    EntryVmId receiverOf(const AdmissionQueue::Entry&) const;
    void handOver(TimePoint now, const AdmissionQueue::Entry&, ActionWriter&);
    void dispatchSubqueue(TimePoint now, const AdmissionQueue::SubqueueId&, ActionWriter&);
    std::optional<AdmissionQueue::Entry> dequeue(const Packet::FlowKey&);
    /// Whether a datagram without a record may belong to a flow whose record was lost with a failed owner. Such a
    /// datagram may only go to the backend server given by the bucket table.
    bool mayBelongToExistingFlow(
        TimePoint now, const Packet::FlowKey&, const Configuration::PortClass&, BackendServerId) const;
    /// Whether this balancer replaced a failed owner so recently that copies of its exceptions may still arrive from
    /// other balancers.
    bool isTakeoverSettling(TimePoint now, BackendServerId) const;
    void expire(TimePoint now, const AdmissionQueue::Entry&, ActionWriter&);
    bool dispatch(TimePoint now, const AdmissionQueue::Entry&, ActionWriter&);
    bool dispatchForSlot(TimePoint now, const AdmissionQueue::Entry&, ActionWriter&);
    bool retry(TimePoint now, const AddressIndex::Entry&, FlowRecord&, RetryReason, ActionWriter&);
    void retryUnanswered(TimePoint now, ActionWriter&);
    void removeExpiredRefusals(TimePoint now);
    static AdmissionQueue::Entry makeQueueEntry(TimePoint now, const PacketContext&);
    Base::milliseconds responseTime(ServiceId) const;

    DeciderState& state_;
    const Placement& placement_;
    LoadView& loadView_;
    const Admission& admission_;
    AdmissionQueue queue_;
    RetainedPackets retainedPackets_;
    Overload::RetryBudget<std::pair<ServiceId, uint32_t>> retryBudget_;
    /// Smoothed time from a request to its response, in milliseconds.
    std::unordered_map<ServiceId, double> responseTimes_;
    /// Datagram flows that were recently refused as not run; late duplicates of their packets must not be executed.
    std::unordered_map<Packet::FlowKey, RecentRefusal> recentRefusals_;
};

}
