#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::base {

//! Largest text that `decompress` returns.
inline constexpr std::size_t MAX_DECOMPRESSED_BYTES = 64UL * 1024 * 1024;

//! Returns `text` in the zlib format. Thread safety: pure.
auto compress(std::string_view text) -> std::string;

//! Reverses `compress`; nothing if the bytes are damaged or the text is too long.
//! Thread safety: pure.
auto decompress(std::string_view bytes) -> std::optional<std::string>;

} // namespace hawthornpick::base
