#pragma once

#include <boost/json/fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::webapi {

//! Parses a JSON object; nothing if the text is anything else. Thread safety: pure.
auto parseObject(std::string_view text) -> std::optional<boost::json::object>;

//! Returns a text member, or nothing if it is absent or not a text. Thread safety: pure.
auto textMember(const boost::json::object &object, std::string_view name)
        -> std::optional<std::string>;

//! Returns a non-negative whole number member, or nothing. Thread safety: pure.
auto numberMember(const boost::json::object &object, std::string_view name)
        -> std::optional<std::uint64_t>;

//! Returns compact JSON text with a line feed at its end. Thread safety: pure.
auto toText(const boost::json::value &value) -> std::string;

} // namespace hawthornpick::webapi
