#pragma once

/// Stateless steering as in Cheetah (NSDI 2020): a token in every packet of a flow identifies the backend server with
/// which the flow was opened, so that any balancer forwards any packet with one table lookup.

#include <LibPacket/FlowKey.h>
#include <array>
#include <compare>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>

namespace Steering {

/// Identifies a backend server on the platform for the lifetime of its registration. Zero: none.
struct BackendServerNumber {
    uint64_t value { 0 };

    auto operator<=>(const BackendServerNumber&) const = default;

    /// Lower-case hex digits, as in the server's id.
    std::string toString() const
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%llx", static_cast<unsigned long long>(value));
        return text.data();
    }
};

/// Identifies the backend server of a flow in its packets. Zero: the packet has no token. All nodes compute the same
/// tokens.
///
/// Several servers may be offered one flow, and each repeats the token of the last packet that it received. First
/// packets therefore carry a tentative token, and all later packets, which only the server that the caller chose
/// receives, a confirmed one. A caller that sends a confirmed token has received a response of the flow's own server.
struct FlowToken {
    uint32_t value { 0 };

    auto operator<=>(const FlowToken&) const = default;
    bool isValid() const { return value != 0; }
    bool isTentative() const { return (value & tentativeBit) != 0; }

    /// Servers that share a confirmed token are distinguished by the service of the packet's route; of two in one
    /// service, only the one with the smaller number gets new flows.
    static FlowToken confirmed(BackendServerNumber number)
    {
        const auto folded = static_cast<uint32_t>(Base::mix(number.value, formVersion)) & ~tentativeBit;
        return { folded != 0 ? folded : 1 };
    }

    /// The token of a first packet with this sequence number. It identifies the server only to a node that knows the
    /// flow's sequence number and the servers that were offered the flow.
    static FlowToken tentative(BackendServerNumber number, const Packet::FlowKey& flow, uint32_t firstSequence)
    {
        const auto folded = Base::mix(Base::mix(flow.hash(), firstSequence), number.value);
        return { static_cast<uint32_t>(folded) | tentativeBit };
    }

private:
    static constexpr uint32_t tentativeBit { 0x8000'0000 };
    /// Keeps confirmed tokens apart from those of releases that wrote one token into all packets of a flow.
    static constexpr uint64_t formVersion { 2 };
};

}

template <>
struct std::hash<Steering::BackendServerNumber> {
    std::size_t operator()(const Steering::BackendServerNumber& number) const noexcept
    {
        return Base::mix(number.value);
    }
};

template <>
struct std::hash<Steering::FlowToken> {
    std::size_t operator()(const Steering::FlowToken& token) const noexcept { return Base::mix(token.value); }
};
