#pragma once

#include <LibBase/Random.h>
#include <LibPacket/FlowKey.h>
#include <cstddef>
#include <span>
#include <vector>

namespace Measure::PacketPath {

/// Prebuilt packets of many flows: one mid-flow TCP packet for each flow, in a random order that defeats caching and
/// prefetching.
class PacketLoad {
public:
    /// Size of each packet in bytes.
    static constexpr std::size_t packetBytes = 128;

    PacketLoad(std::size_t flows, uint64_t seed);

    std::size_t flowCount() const { return keys_.size(); }
    const Packet::FlowKey& key(std::size_t flow) const { return keys_[flow]; }
    /// Return the packet at a position of the random order and the flow it belongs to.
    std::span<const std::byte> packetAt(std::size_t position) const;
    std::size_t flowAt(std::size_t position) const { return order_[position % order_.size()]; }
    /// Returns the flow to which a caller's endpoint belongs.
    static std::size_t flowOfCaller(const Base::Ipv4Endpoint&);
    /// Returns the address and port of the service that is the destination of all flows.
    static Base::Ipv4Endpoint service();

private:
    std::vector<Packet::FlowKey> keys_;
    std::vector<uint32_t> order_;
    std::vector<std::byte> packets_;
};

}
