#include <LibPeer/Authenticator.h>

#include <LibBase/Verify.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace Peer {

namespace {

    constexpr std::size_t minimumKeyBytes = 16;
    constexpr std::size_t maximumKeys = 2;

    AuthenticationCode computeCode(const std::string& key, std::span<const std::byte> bytes)
    {
        AuthenticationCode code {};
        unsigned int length = 0;
        const auto* result = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
            reinterpret_cast<unsigned char*>(code.data()), &length);
        VERIFY(result != nullptr && length == code.size());
        return code;
    }

}

Base::ErrorOr<Authenticator> Authenticator::create(std::vector<std::string> keys)
{
    if (keys.empty() || keys.size() > maximumKeys)
        return Base::makeError(Base::ErrorCode::InvalidArgument, "expected one or two keys");
    for (const auto& key : keys) {
        if (key.size() < minimumKeyBytes)
            return Base::makeError(Base::ErrorCode::InvalidArgument, "expected keys of at least 16 bytes");
    }
    return Authenticator(std::move(keys));
}

AuthenticationCode Authenticator::sign(std::span<const std::byte> bytes) const
{
    return computeCode(keys_.front(), bytes);
}

bool Authenticator::isAuthentic(std::span<const std::byte> bytes, std::span<const std::byte> code) const
{
    if (code.size() != authenticationCodeBytes)
        return false;
    bool authentic = false;
    for (const auto& key : keys_) {
        const auto expected = computeCode(key, bytes);
        authentic |= CRYPTO_memcmp(expected.data(), code.data(), code.size()) == 0;
    }
    return authentic;
}

}
