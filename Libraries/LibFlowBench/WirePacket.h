#pragma once

#include <LibFlow/Types.h>
#include <LibPacket/PacketSummary.h>
#include <cstdint>
#include <optional>

namespace FlowBench {

/// Index of a caller's flow in CallerPool; represents its TCP sequence space, which balancers do not read.
using FlowIndex = uint32_t;

/// A simulated packet between callers, balancers and backend servers.
struct WirePacket {
    Packet::PacketSummary summary;
    FlowIndex flow { 0 };
    /// Index of the flow's port class in ClassTable.
    uint16_t portClass { 0 };
    /// Number of the request that the payload is or answers; 0 without payload.
    uint32_t request { 0 };
    /// The backend server's number of the connection, first sent with its SYN-ACK; 0 if the sender does not know it.
    uint64_t connection { 0 };
    /// The backend server that sent the packet, on packets to callers.
    Base::BackendServerId backendServer;
    /// Whether the sending balancer was resumed recently and may not have received the latest configuration.
    bool isFromRecentlyResumedBalancer { false };
    /// Set on a balancer's refusal only.
    std::optional<Flow::ExecutionStatus> refusal;
    /// Reason of the refusal; valid only if `refusal` is set.
    Flow::RefusalReason refusalReason { Flow::RefusalReason::NoRoom };
};

}
