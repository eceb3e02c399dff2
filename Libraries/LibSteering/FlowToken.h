#pragma once

/// Stateless steering as in Cheetah (NSDI 2020): a token in every packet of a flow identifies the backend server with
/// which the flow was opened, so that any balancer forwards any packet with one table lookup.

#include <LibBase/Hash.h>
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

/// Identifies the backend server of a flow in its packets. Zero: the packet has no token.
struct FlowToken {
    uint32_t value { 0 };

    auto operator<=>(const FlowToken&) const = default;
    bool isValid() const { return value != 0; }

    /// Returns the same token on every node. Servers that share a token are distinguished by the service of the
    /// packet's route; of two in one service, only the one with the smaller number gets new flows.
    static FlowToken of(BackendServerNumber number)
    {
        const auto folded = static_cast<uint32_t>(Base::mix(number.value));
        return { folded != 0 ? folded : 1 };
    }
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
