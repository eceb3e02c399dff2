#pragma once

#include <LibPacket/HandOverCodec.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace DataPath {

/// Packet buffers of one worker, allocated once. Each has space for a hand-over header in front of its packet. Not
/// thread-safe.
class BufferPool {
public:
    /// Size of a buffer in bytes, including the space for the header.
    static constexpr std::size_t bufferBytes = 2048;
    /// Maximum size of an accepted datagram in bytes.
    static constexpr std::size_t maximumDatagramBytes = bufferBytes - Packet::handOverHeaderBytes;

    explicit BufferPool(std::size_t count);

    std::size_t size() const { return lengths_.size(); }
    std::size_t freeCount() const { return free_.size(); }

    /// Returns a free buffer, or nothing if all are in use.
    std::optional<uint32_t> acquire();
    /// Returns a buffer to the pool; false if it was not in use.
    bool release(uint32_t buffer);
    bool isInUse(uint32_t buffer) const { return buffer < inUse_.size() && inUse_[buffer] != 0; }

    /// The space into which a datagram is received.
    std::span<std::byte> space(uint32_t buffer);
    /// Sets the packet's offset, relative to space(), and its length. Bytes before the offset are the hand-over header.
    void setPacket(uint32_t buffer, std::size_t offset, std::size_t length);
    /// The IPv4 packet.
    std::span<std::byte> packet(uint32_t buffer);
    /// The header space and the packet after it, as one datagram.
    std::span<std::byte> handOverDatagram(uint32_t buffer);

private:
    std::byte* start(uint32_t buffer) { return memory_.data() + (buffer * bufferBytes); }

    std::vector<std::byte> memory_;
    std::vector<uint32_t> free_;
    std::vector<uint8_t> inUse_;
    /// Packet offsets from the start of each buffer; at least the size of the header.
    std::vector<uint16_t> offsets_;
    std::vector<uint16_t> lengths_;
};

}
