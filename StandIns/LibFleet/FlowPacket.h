#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace StandIn {

/// A packet of the users' platform, written and read independently of the product's own codec.
struct FlowPacket {
    Base::Ipv4Endpoint from;
    Base::Ipv4Endpoint to;
    uint32_t sequence { 0 };
    uint32_t acknowledged { 0 };
    uint32_t echo { 0 };
    bool isSyn { false };
    bool isAck { false };
    bool isFin { false };
    bool isReset { false };
    std::string data;
    /// Set by read(): whether the sum is the sender's.
    bool isGenuine { false };
    /// Set by read(): the sum is zero, as in resets that the balancers write.
    bool hasNoSum { false };

    std::vector<uint8_t> write() const;
    static std::optional<FlowPacket> read(std::span<const uint8_t>);
};

}
