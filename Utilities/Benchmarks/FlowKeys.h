#pragma once

#include <LibBase/Random.h>
#include <LibPacket/FlowKey.h>
#include <vector>

namespace Benchmarks {

/// Returns the keys of distinct flows of one service; sets with different numbers are disjoint.
inline std::vector<Packet::FlowKey> makeFlowKeys(std::size_t count, uint32_t set)
{
    constexpr std::size_t portsPerCaller = 32768;
    std::vector<Packet::FlowKey> keys;
    keys.reserve(count);
    for (std::size_t flow = 0; flow < count; ++flow) {
        const auto address = 0x0A000001 + (set << 16) + static_cast<uint32_t>(flow / portsPerCaller);
        const auto port = static_cast<uint16_t>(16384 + (flow % portsPerCaller));
        keys.push_back({ .caller = { { address }, port }, .service = { { 0xC6336401 }, 443 } });
    }
    return keys;
}

/// Returns the keys in a random order that depends on the seed only.
inline std::vector<Packet::FlowKey> shuffled(std::vector<Packet::FlowKey> keys, uint64_t seed)
{
    Base::Random random(seed);
    for (std::size_t last = keys.size(); last > 1; --last)
        std::swap(keys[last - 1], keys[random.below(last)]);
    return keys;
}

}
