#include "base/compression.h"

#include <cstdint>
#include <cstring>
#include <zlib.h>

namespace hawthornpick::base {

namespace {

//! Size of the field before the compressed bytes that holds the length of the uncompressed text.
constexpr std::size_t LENGTH_FIELD_BYTES = sizeof(std::uint32_t);

} // namespace

auto compress(std::string_view text) -> std::string
{
    auto compressedSize = ::compressBound(text.size());
    std::string compressed(LENGTH_FIELD_BYTES + compressedSize, '\0');
    const auto textBytes = static_cast<std::uint32_t>(text.size());
    std::memcpy(compressed.data(), &textBytes, LENGTH_FIELD_BYTES);
    ::compress2(reinterpret_cast<Bytef *>(compressed.data() + LENGTH_FIELD_BYTES), &compressedSize,
                reinterpret_cast<const Bytef *>(text.data()), text.size(), Z_DEFAULT_COMPRESSION);
    compressed.resize(LENGTH_FIELD_BYTES + compressedSize);
    return compressed;
}

auto decompress(std::string_view bytes) -> std::optional<std::string>
{
    std::uint32_t textBytes = 0;
    if (bytes.size() < LENGTH_FIELD_BYTES) {
        return std::nullopt;
    }
    std::memcpy(&textBytes, bytes.data(), LENGTH_FIELD_BYTES);
    if (textBytes > MAX_DECOMPRESSED_BYTES) {
        return std::nullopt;
    }
    bytes.remove_prefix(LENGTH_FIELD_BYTES);
    std::string text(textBytes, '\0');
    uLongf decompressedSize = textBytes;
    const auto status = ::uncompress(reinterpret_cast<Bytef *>(text.data()), &decompressedSize,
                                     reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
    if (status != Z_OK || decompressedSize != textBytes) {
        return std::nullopt;
    }
    return text;
}

} // namespace hawthornpick::base
