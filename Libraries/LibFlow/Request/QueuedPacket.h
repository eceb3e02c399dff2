#pragma once

#include <LibFlow/Types.h>
#include <LibOverload/AdmissionQueue.h>

namespace Flow {

/// A first packet that waits for capacity, or a payload packet that waits for a slot; at most one per flow.
struct QueuedPacket {
    /// Identifies the packets that wait for the same resource: a slot of one backend server, or capacity anywhere in a
    /// service.
    struct SubqueueId {
        /// Invalid means any backend server of the service.
        BackendServerId backendServer;
        ServiceId service;

        auto operator<=>(const SubqueueId&) const = default;
    };

    Packet::FlowKey key;
    PacketToken token { 0 };
    ServiceId service;
    uint32_t priority { 0 };
    uint32_t weight { 1 };
    TimePoint deadline {};
    /// The backend server whose slot is needed; invalid if any backend server of the service will do.
    BackendServerId backendServer;
    Packet::TcpFlags flags;
    uint16_t payloadLength { 0 };
    uint32_t sequence { 0 };
    /// Number of transfers between balancers before the packet was queued.
    uint8_t hops { 0 };
    EntryVmId origin;

    SubqueueId subqueueId() const { return { .backendServer = backendServer, .service = service }; }
};

using AdmissionQueue = Overload::AdmissionQueue<QueuedPacket>;

}
