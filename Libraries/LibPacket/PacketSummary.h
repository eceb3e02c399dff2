#pragma once

#include <LibPacket/FlowKey.h>
#include <cstdint>

namespace Packet {

/// Direction of a packet within its flow.
enum class Direction : uint8_t {
    ToBackendServer,
    ToCaller,
};

/// The TCP flags that flow decisions depend on.
struct TcpFlags {
    bool syn { false };
    bool ack { false };
    bool fin { false };
    bool rst { false };
};

/// The fields of a valid packet that flow decisions need.
struct PacketSummary {
    FlowKey key;
    Direction direction { Direction::ToBackendServer };
    TcpFlags flags;
    /// Transport payload in bytes.
    uint16_t payloadLength { 0 };
    /// TCP sequence number; 0 for UDP, or when unknown. Distinguishes a retransmitted request from a new one.
    uint32_t sequence { 0 };
};

}
