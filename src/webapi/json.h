#pragma once

#include <boost/json/fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::webapi {

//! Parses a JSON object; returns nothing if the text is not valid JSON or not an object.
//! Thread safety: pure.
auto parseObject(std::string_view text) -> std::optional<boost::json::object>;

//! Returns the value of a string member, or nothing if it is absent or not a string.
//! Thread safety: pure.
auto textMember(const boost::json::object &object, std::string_view name)
        -> std::optional<std::string>;

//! Returns the value of an integer member, or nothing if it is absent, not an integer or negative.
//! Thread safety: pure.
auto numberMember(const boost::json::object &object, std::string_view name)
        -> std::optional<std::uint64_t>;

//! Serializes to compact JSON text that ends with a line feed. Thread safety: pure.
auto toText(const boost::json::value &value) -> std::string;

} // namespace hawthornpick::webapi
