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
    /// Path and query, already encoded.
    std::string target;
    /// JSON; empty: no body.
    std::string body;
};

struct Response {
    uint32_t status { 0 };
    std::string body;
};

}
