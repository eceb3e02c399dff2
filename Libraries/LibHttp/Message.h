#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

enum class Method : uint8_t {
    Get,
    Post,
    Delete,
};

struct Request {
    Method method { Method::Get };
    /// Path and query, percent-encoded.
    std::string target;
    /// JSON; an empty string means no body.
    std::string body;
};

struct Header {
    std::string name;
    std::string value;
};

struct Response {
    uint32_t status { 0 };
    std::string body;
    /// As received, in their order; empty in responses to send.
    std::vector<Header> headers {};

    /// The value of the first header of this name, in any case; nothing if there is none.
    std::optional<std::string_view> header(std::string_view name) const;
};

}
