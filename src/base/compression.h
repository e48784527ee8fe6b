#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::base {

//! Size limit of a decompressed text; `decompress` rejects longer ones.
inline constexpr std::size_t MAX_DECOMPRESSED_BYTES = 64UL * 1024 * 1024;

//! Returns the length of `text` as a 32-bit integer in the host's byte order, followed by `text` in
//! the zlib format. Thread safety: pure.
auto compress(std::string_view text) -> std::string;

//! Reverses `compress`; returns nothing if the bytes are malformed or the text is longer than
//! `MAX_DECOMPRESSED_BYTES`.
//! Thread safety: pure.
auto decompress(std::string_view bytes) -> std::optional<std::string>;

} // namespace hawthornpick::base
