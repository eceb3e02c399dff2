#include <LibControl/Version/Compression.h>

#include <LibBase/Verify.h>
#include <zlib.h>

namespace Control {

std::string compressBytes(std::string_view input)
{
    auto size = compressBound(input.size());
    std::string output(size, '\0');
    const auto result = compress2(reinterpret_cast<Bytef*>(output.data()), &size,
        reinterpret_cast<const Bytef*>(input.data()), input.size(), Z_BEST_COMPRESSION);
    VERIFY(result == Z_OK);
    output.resize(size);
    return output;
}

Base::ErrorOr<std::string> decompressBytes(std::string_view input, std::size_t maximumBytes)
{
    std::string output(maximumBytes, '\0');
    uLongf size = output.size();
    const auto result = uncompress(
        reinterpret_cast<Bytef*>(output.data()), &size, reinterpret_cast<const Bytef*>(input.data()), input.size());
    if (result == Z_BUF_ERROR && size >= maximumBytes)
        return Base::makeError(Base::ErrorCode::TooLarge, "decompressed data exceeds the size limit");
    if (result != Z_OK)
        return Base::makeError(Base::ErrorCode::Malformed, "invalid compressed data");
    output.resize(size);
    return output;
}

}
