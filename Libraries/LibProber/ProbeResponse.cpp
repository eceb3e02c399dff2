#include <LibProber/ProbeResponse.h>

#include <limits>
#include <nlohmann/json.hpp>

namespace Prober {

namespace {

    using Json = nlohmann::json;
    using Base::ErrorCode;

    Base::ErrorOr<uint64_t> readNumber(const Json& object, const char* key, uint64_t maximum)
    {
        const auto found = object.find(key);
        if (found == object.end())
            return 0;
        if (!found->is_number_unsigned())
            return Base::makeError(ErrorCode::Malformed, std::string(key) + ": expected an unsigned integer");
        const auto number = found->get<uint64_t>();
        if (number > maximum)
            return Base::makeError(ErrorCode::OutOfRange, std::string(key) + ": too large");
        return number;
    }

    /// Rejects deep nesting, since the JSON parser is recursive. Responses are flat, so that counting the brackets
    /// suffices.
    bool hasFewBrackets(std::string_view text)
    {
        constexpr int maximumBrackets = 16;
        int brackets = 0;
        for (const char character : text)
            brackets += character == '{' || character == '[' ? 1 : 0;
        return brackets <= maximumBrackets;
    }

}

Base::ErrorOr<ProbeResponse> parseProbeResponse(std::string_view text)
{
    if (text.size() > maximumResponseBytes || !hasFewBrackets(text))
        return Base::makeError(ErrorCode::TooLarge, "expected a flat object of at most 4096 bytes");
    const auto object = Json::parse(text.begin(), text.end(), nullptr, false);
    if (!object.is_object())
        return Base::makeError(ErrorCode::Malformed, "expected an object");
    const auto healthy = object.find("healthy");
    if (healthy == object.end() || !healthy->is_boolean())
        return Base::makeError(ErrorCode::Malformed, "healthy: expected true or false");
    constexpr uint64_t maximum32 = std::numeric_limits<uint32_t>::max();
    TRY_ASSIGN(slots, readNumber(object, "slots_in_use", maximum32));
    TRY_ASSIGN(connections, readNumber(object, "connections", maximum32));
    TRY_ASSIGN(startToken, readNumber(object, "start_token", std::numeric_limits<uint64_t>::max()));
    return ProbeResponse { .healthy = healthy->get<bool>(),
        .slotsInUse = static_cast<uint32_t>(slots),
        .connections = static_cast<uint32_t>(connections),
        .startToken = startToken };
}

}
