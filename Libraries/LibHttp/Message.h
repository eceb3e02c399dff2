#pragma once

#include <cstdint>
#include <string>

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

struct Response {
    uint32_t status { 0 };
    std::string body;
};

}
