#include "base/compression.h"

#include <cstdint>
#include <cstring>
#include <zlib.h>

namespace hawthornpick::base {

namespace {

//! The length of the text stands before the compressed bytes.
constexpr std::size_t LENGTH_BYTES = sizeof(std::uint32_t);

} // namespace

auto compress(std::string_view text) -> std::string
{
    auto size = ::compressBound(text.size());
    std::string out(LENGTH_BYTES + size, '\0');
    const auto length = static_cast<std::uint32_t>(text.size());
    std::memcpy(out.data(), &length, LENGTH_BYTES);
    ::compress2(reinterpret_cast<Bytef *>(out.data() + LENGTH_BYTES), &size,
                reinterpret_cast<const Bytef *>(text.data()), text.size(), Z_DEFAULT_COMPRESSION);
    out.resize(LENGTH_BYTES + size);
    return out;
}

auto decompress(std::string_view bytes) -> std::optional<std::string>
{
    std::uint32_t length = 0;
    if (bytes.size() < LENGTH_BYTES) {
        return std::nullopt;
    }
    std::memcpy(&length, bytes.data(), LENGTH_BYTES);
    if (length > MAX_DECOMPRESSED_BYTES) {
        return std::nullopt;
    }
    bytes.remove_prefix(LENGTH_BYTES);
    std::string out(length, '\0');
    uLongf size = length;
    const auto result = ::uncompress(reinterpret_cast<Bytef *>(out.data()), &size,
                                     reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
    if (result != Z_OK || size != length) {
        return std::nullopt;
    }
    return out;
}

} // namespace hawthornpick::base
