#include <LibBase/Ipv4Endpoint.h>

#include <charconv>

namespace Base {

static constexpr int octetCount = 4;

template <typename Integer>
static bool parseDecimal(std::string_view text, Integer& value)
{
    if (text.empty() || (text.size() > 1 && text.front() == '0'))
        return false;
    const auto* end = text.data() + text.size();
    auto [stop, failure] = std::from_chars(text.data(), end, value);
    return failure == std::errc {} && stop == end;
}

ErrorOr<Ipv4Address> Ipv4Address::parse(std::string_view text)
{
    auto rest = text;
    uint32_t value = 0;
    for (int index = 0; index < octetCount; ++index) {
        const auto dot = index + 1 < octetCount ? rest.find('.') : rest.size();
        uint8_t octet = 0;
        if (dot == std::string_view::npos || !parseDecimal(rest.substr(0, dot), octet))
            return makeError(ErrorCode::Malformed, "not an IPv4 address: '" + std::string(text) + "'");
        value = (value << 8) | octet;
        rest.remove_prefix(index + 1 < octetCount ? dot + 1 : dot);
    }
    return Ipv4Address { value };
}

std::string Ipv4Address::toString() const
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((value >> shift) & 0xFF);
        if (shift > 0)
            text += '.';
    }
    return text;
}

ErrorOr<Ipv4Endpoint> Ipv4Endpoint::parse(std::string_view text)
{
    const auto colon = text.find(':');
    uint16_t port = 0;
    if (colon == std::string_view::npos || !parseDecimal(text.substr(colon + 1), port))
        return makeError(ErrorCode::Malformed, "not an IPv4 endpoint (ADDRESS:PORT): '" + std::string(text) + "'");
    TRY_ASSIGN(address, Ipv4Address::parse(text.substr(0, colon)));
    return Ipv4Endpoint { .address = address, .port = port };
}

std::string Ipv4Endpoint::toString() const { return address.toString() + ':' + std::to_string(port); }

}
