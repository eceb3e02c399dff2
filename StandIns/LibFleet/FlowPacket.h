#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace StandIn {

/// A packet in the platform's format, encoded and decoded independently of the product's codec.
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
    /// Set by read(): whether the checksum matches the packet and the senders' key.
    bool isChecksumValid { false };
    /// Set by read(): whether the checksum is zero, as in resets that balancers generate.
    bool hasZeroChecksum { false };

    std::vector<uint8_t> write() const;
    static std::optional<FlowPacket> read(std::span<const uint8_t>);
};

}
