#pragma once

#include <LibBase/Error.h>
#include <LibBase/Hash.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Base {

/// An IPv4 address in host byte order.
struct Ipv4Address {
    uint32_t value { 0 };

    auto operator<=>(const Ipv4Address&) const = default;

    /// Parses dotted-decimal notation ("127.0.0.1"). Returns ErrorCode::Malformed for any other text, also for octets
    /// with leading zeros.
    static ErrorOr<Ipv4Address> parse(std::string_view);
    /// Dotted-decimal notation.
    std::string toString() const;
};

/// An IPv4 address and a port, both in host byte order.
struct Ipv4Endpoint {
    Ipv4Address address;
    uint16_t port { 0 };

    auto operator<=>(const Ipv4Endpoint&) const = default;

    /// Parses text such as "127.0.0.1:4000". Returns ErrorCode::Malformed for any other format.
    static ErrorOr<Ipv4Endpoint> parse(std::string_view);
    /// Text such as "127.0.0.1:4000".
    std::string toString() const;
    /// The address and port packed into the low 48 bits of an integer, unique for each endpoint.
    uint64_t packed() const { return (static_cast<uint64_t>(address.value) << 16) | port; }
    /// The inverse of packed().
    static Ipv4Endpoint fromPacked(uint64_t packed)
    {
        return { .address = { static_cast<uint32_t>(packed >> 16) }, .port = static_cast<uint16_t>(packed & 0xFFFF) };
    }
};

}

template <>
struct std::hash<Base::Ipv4Address> {
    std::size_t operator()(const Base::Ipv4Address& address) const noexcept { return Base::mix(address.value); }
};

template <>
struct std::hash<Base::Ipv4Endpoint> {
    std::size_t operator()(const Base::Ipv4Endpoint& endpoint) const noexcept { return Base::mix(endpoint.packed()); }
};
