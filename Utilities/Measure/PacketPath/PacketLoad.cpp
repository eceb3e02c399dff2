#include "PacketLoad.h"

#include <LibBase/Verify.h>
#include <LibPacket/PacketBuilder.h>
#include <algorithm>
#include <numeric>

namespace Measure::PacketPath {

namespace {

    constexpr uint32_t firstCallerAddress = 0x0A000001;
    constexpr std::size_t portsPerCaller = 32768;
    constexpr uint16_t firstCallerPort = 16384;
    constexpr std::size_t headerBytes = 40;

    Base::Ipv4Endpoint callerOf(std::size_t flow)
    {
        return { .address = { firstCallerAddress + static_cast<uint32_t>(flow / portsPerCaller) },
            .port = static_cast<uint16_t>(firstCallerPort + (flow % portsPerCaller)) };
    }

}

Base::Ipv4Endpoint PacketLoad::service() { return { .address = { 0xC6336401 }, .port = 443 }; }

std::size_t PacketLoad::flowOfCaller(const Base::Ipv4Endpoint& caller)
{
    return ((caller.address.value - firstCallerAddress) * portsPerCaller) + (caller.port - firstCallerPort);
}

PacketLoad::PacketLoad(std::size_t flows, uint64_t seed)
    : order_(flows)
    , packets_(flows * packetBytes)
{
    const std::vector<std::byte> payload(packetBytes - headerBytes, std::byte { 0x2E });
    keys_.reserve(flows);
    for (std::size_t flow = 0; flow < flows; ++flow) {
        keys_.push_back({ .caller = callerOf(flow), .service = service() });
        const auto written = Packet::buildTcp(std::span(packets_).subspan(flow * packetBytes, packetBytes),
            { .source = callerOf(flow), .destination = service(), .flags = { .ack = true } }, payload);
        VERIFY(written == packetBytes);
    }
    std::iota(order_.begin(), order_.end(), 0);
    Base::Random random(seed);
    for (std::size_t last = flows; last > 1; --last)
        std::swap(order_[last - 1], order_[random.below(last)]);
}

std::span<const std::byte> PacketLoad::packetAt(std::size_t position) const
{
    return std::span(packets_).subspan(flowAt(position) * packetBytes, packetBytes);
}

}
