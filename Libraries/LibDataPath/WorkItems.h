#pragma once

/// Items that the workers and the decide thread exchange through rings.

#include <LibFlow/Types.h>
#include <LibPacket/Refusal.h>

namespace DataPath {

/// Maximum number of workers of a data path. The top bits of a packet token are the worker's index.
constexpr std::size_t maximumWorkers = 64;

constexpr uint32_t tokenWorkerShift = 24;

/// Maximum number of buffers of a worker.
constexpr std::size_t maximumBuffersPerWorker = std::size_t { 1 } << tokenWorkerShift;

constexpr Flow::PacketToken makeToken(std::size_t worker, uint32_t buffer)
{
    return static_cast<uint32_t>(worker << tokenWorkerShift) | buffer;
}

constexpr std::size_t workerIndexOf(Flow::PacketToken token) { return token >> tokenWorkerShift; }

constexpr uint32_t bufferIndexOf(Flow::PacketToken token) { return token & (maximumBuffersPerWorker - 1); }

/// A command to a worker about one of its buffers.
struct SendCommand {
    enum class Kind : uint8_t {
        /// Send the packet unchanged.
        Send,
        /// Send the packet with a hand-over header in front.
        HandOver,
        /// Send a refusal of the packet.
        Refuse,
        /// Send nothing.
        Discard,
    };

    uint32_t buffer { 0 };
    Kind kind { Kind::Discard };
    /// Whether to release the buffer afterwards.
    bool release { true };
    Packet::RefusalMeaning meaning { Packet::RefusalMeaning::Unknown };
    Base::Ipv4Endpoint destination;
    Flow::HandOver handOver;
};

}
