#pragma once

#include <LibFlow/Types.h>
#include <cstdint>

namespace Flow {

/// Life-cycle state of a recorded flow.
enum class FlowState : uint8_t {
    /// The first packet is queued until a backend server has capacity.
    Queued,
    /// The first packet was forwarded; the backend server has not responded.
    HalfOpen,
    /// The backend server has responded, or the flow was adopted from a mid-flow packet.
    Open,
    /// Ended; kept for a short time so that late packets are routed correctly and stale responses are recognized.
    Closed,
};

/// Record of one flow: 36 bytes. Times are in milliseconds of TimePoint, modulo 2^32.
struct FlowRecord {
    uint32_t callerAddress { 0 };
    uint32_t serviceAddress { 0 };
    uint16_t callerPort { 0 };
    uint16_t servicePort { 0 };
    /// The backend server of the flow; 0 while queued.
    uint32_t backendServer { 0 };
    uint32_t lastSeen { 0 };
    uint32_t startedAt { 0 };
    /// When the current request acquired its slot.
    uint32_t slotAcquiredAt { 0 };
    /// TCP sequence number of the packet that started the latest request; 0 if there was none or it is unknown.
    uint32_t lastRequestSequence { 0 };
    /// Digest of the balancer that holds a copy of this exception (a flow on another backend server than the bucket
    /// table gives); 0 if there is no copy.
    uint16_t copyHolderDigest { 0 };
    uint16_t isUdp : 1 { 0 };
    /// The owner of the flow's backend server serves the flow; this record only points there.
    uint16_t isRedirect : 1 { 0 };
    uint16_t state : 2 { 0 };
    uint16_t callerFinished : 1 { 0 };
    uint16_t serverFinished : 1 { 0 };
    uint16_t holdsSlot : 1 { 0 };
    /// The backend server was guessed for a flow without a record, and no response has confirmed it yet.
    uint16_t isUnconfirmed : 1 { 0 };
    /// Number of guessed backend servers that have reset the flow since it was adopted.
    uint16_t rejectedGuesses : 4 { 0 };
    /// The first request has not been answered yet.
    uint16_t awaitsFirstResponse : 1 { 0 };
    /// A copy of the first packet is kept for a retry.
    uint16_t hasCopy : 1 { 0 };

    FlowState flowState() const { return static_cast<FlowState>(state); }
    void setState(FlowState newState) { state = static_cast<uint16_t>(newState) & 3U; }
    BackendServerId server() const { return { backendServer }; }
    Packet::FlowKey key() const
    {
        return {
            .caller = { .address = { callerAddress }, .port = callerPort },
            .service = { .address = { serviceAddress }, .port = servicePort },
            .protocol = isUdp ? Packet::IpProtocol::Udp : Packet::IpProtocol::Tcp,
        };
    }
    bool matches(const Packet::FlowKey& other) const
    {
        return callerAddress == other.caller.address.value && callerPort == other.caller.port
            && serviceAddress == other.service.address.value && servicePort == other.service.port
            && (isUdp != 0) == (other.protocol == Packet::IpProtocol::Udp);
    }
};

static_assert(sizeof(FlowRecord) == 36);

}
