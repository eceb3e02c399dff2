#pragma once

#include <LibPacket/HandOverCodec.h>
#include <LibPacket/Ipv4Packet.h>
#include <array>
#include <atomic>

namespace DataPath {

/// A counter that one thread increments and others read.
class Total {
public:
    void add(uint64_t count = 1) { value_.store(value() + count, std::memory_order_relaxed); }
    uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> value_ { 0 };
};

/// Totals of one worker.
struct WorkerCounters {
    Total received;
    Total receivedHandOvers;
    Total sent;
    Total sentHandOvers;
    Total sentRefusals;
    /// Indexed by Packet::PacketError.
    std::array<Total, Packet::packetErrorCount> malformed;
    /// Indexed by Packet::HandOverError.
    std::array<Total, Packet::handOverErrorCount> invalidHandOvers;
    /// Datagrams larger than a buffer.
    Total tooLarge;
    /// Datagrams dropped because all buffers were in use.
    Total noBuffer;
    /// Packets dropped because the ring to the decide thread was full.
    Total ringFull;
    /// Datagrams that the kernel failed to send.
    Total sendFailed;
};

}
