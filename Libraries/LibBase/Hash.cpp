#include <LibBase/Hash.h>

#include <xxhash.h>

namespace Base {

uint64_t hashBytes(std::span<const std::byte> bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t hashText(std::string_view text, uint64_t seed) { return XXH3_64bits_withSeed(text.data(), text.size(), seed); }

}
