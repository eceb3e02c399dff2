#pragma once

#include <LibBase/Error.h>
#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace Peer {

/// Bytes of a message authentication code (HMAC-SHA256).
constexpr std::size_t authenticationCodeBytes = 32;

using AuthenticationCode = std::array<std::byte, authenticationCodeBytes>;

/// Signs with the first key and accepts signatures under any of its keys. This allows rotation without interruption:
/// add the new key as the second one on all nodes, make it the first one on all nodes, then remove the old one.
class Authenticator {
public:
    /// Returns ErrorCode::InvalidArgument unless there are one or two keys of at least 16 bytes.
    static Base::ErrorOr<Authenticator> create(std::vector<std::string> keys);

    /// Returns the authentication code of the bytes under the first key.
    AuthenticationCode sign(std::span<const std::byte>) const;
    /// Whether the code is valid under any of the keys. Compares in constant time.
    bool isAuthentic(std::span<const std::byte>, std::span<const std::byte> code) const;

private:
    explicit Authenticator(std::vector<std::string> keys)
        : keys_(std::move(keys))
    {
    }

    std::vector<std::string> keys_;
};

}
