#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::upstream {

//! Compares ASCII text without regard to case. Thread safety: pure.
auto equalIgnoreCase(std::string_view left, std::string_view right) -> bool;

//! Returns true if `prefix` starts `text` without regard to case. Thread safety: pure.
auto startsWithIgnoreCase(std::string_view text, std::string_view prefix) -> bool;

//! Splits a comma-separated header value into its trimmed, non-empty members.
//! Thread safety: pure.
auto splitList(std::string_view value) -> std::vector<std::string_view>;

//! Removes spaces and tabs at both ends. Thread safety: pure.
auto trimmed(std::string_view text) -> std::string_view;

//! Returns true for headers that concern one connection only (RFC 9110, section 7.6.1) and for the
//! framing headers, which each hop writes anew. `connectionOptions` are the members of the
//! Connection header. Thread safety: pure.
auto isHopByHop(std::string_view name, const std::vector<std::string_view> &connectionOptions)
        -> bool;

//! Appends `name: value` and CRLF.
auto appendHeader(std::string &block, std::string_view name, std::string_view value) -> void;

} // namespace hawthornpick::upstream
