#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::upstream {

//! Compares text case-insensitively for ASCII letters. Thread safety: pure.
auto equalIgnoreCase(std::string_view left, std::string_view right) -> bool;

//! Returns true if `text` starts with `prefix`, compared case-insensitively. Thread safety: pure.
auto startsWithIgnoreCase(std::string_view text, std::string_view prefix) -> bool;

//! Splits a comma-separated header value into its trimmed, non-empty elements.
//! Thread safety: pure.
auto splitList(std::string_view value) -> std::vector<std::string_view>;

//! Removes spaces and tabs at both ends. Thread safety: pure.
auto trimmed(std::string_view text) -> std::string_view;

//! Returns true for hop-by-hop headers (RFC 9110, section 7.6.1) and for the framing headers, which
//! each hop generates itself. `connectionOptions` are the elements of the Connection header.
//! Thread safety: pure.
auto isHopByHop(std::string_view name, const std::vector<std::string_view> &connectionOptions)
        -> bool;

//! Appends the header line `name: value` with CRLF to `block`.
auto appendHeader(std::string &block, std::string_view name, std::string_view value) -> void;

} // namespace hawthornpick::upstream
