#include <LibDataPath/BufferPool.h>

namespace DataPath {

BufferPool::BufferPool(std::size_t count)
    : memory_(count * bufferBytes)
    , inUse_(count, 0)
    , offsets_(count, Packet::handOverHeaderBytes)
    , lengths_(count, 0)
{
    free_.reserve(count);
    for (std::size_t index = count; index > 0; --index)
        free_.push_back(static_cast<uint32_t>(index - 1));
}

std::optional<uint32_t> BufferPool::acquire()
{
    if (free_.empty())
        return std::nullopt;
    const auto buffer = free_.back();
    free_.pop_back();
    inUse_[buffer] = 1;
    return buffer;
}

bool BufferPool::release(uint32_t buffer)
{
    if (!isInUse(buffer))
        return false;
    inUse_[buffer] = 0;
    free_.push_back(buffer);
    return true;
}

std::span<std::byte> BufferPool::space(uint32_t buffer)
{
    return { start(buffer) + Packet::handOverHeaderBytes, maximumDatagramBytes };
}

void BufferPool::setPacket(uint32_t buffer, std::size_t offset, std::size_t length)
{
    offsets_[buffer] = static_cast<uint16_t>(Packet::handOverHeaderBytes + offset);
    lengths_[buffer] = static_cast<uint16_t>(length);
}

std::span<std::byte> BufferPool::packet(uint32_t buffer)
{
    return { start(buffer) + offsets_[buffer], lengths_[buffer] };
}

std::span<std::byte> BufferPool::handOverDatagram(uint32_t buffer)
{
    return { start(buffer) + offsets_[buffer] - Packet::handOverHeaderBytes,
        lengths_[buffer] + Packet::handOverHeaderBytes };
}

}
