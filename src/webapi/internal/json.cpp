#include "webapi/json.h"

// Compiles the Boost.JSON implementation here, so that its headers suffice and no library is
// linked.
#include <boost/json/src.hpp>

namespace hawthornpick::webapi {

auto parseObject(std::string_view text) -> std::optional<boost::json::object>
{
    boost::system::error_code error;
    auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

auto textMember(const boost::json::object &object, std::string_view name)
        -> std::optional<std::string>
{
    const auto *member = object.if_contains(boost::json::string_view(name.data(), name.size()));
    if (member == nullptr || !member->is_string()) {
        return std::nullopt;
    }
    return std::string(member->as_string());
}

auto numberMember(const boost::json::object &object, std::string_view name)
        -> std::optional<std::uint64_t>
{
    const auto *member = object.if_contains(boost::json::string_view(name.data(), name.size()));
    if (member == nullptr) {
        return std::nullopt;
    }
    if (member->is_uint64()) {
        return member->as_uint64();
    }
    if (member->is_int64() && member->as_int64() >= 0) {
        return static_cast<std::uint64_t>(member->as_int64());
    }
    return std::nullopt;
}

auto toText(const boost::json::value &value) -> std::string
{
    return boost::json::serialize(value) + "\n";
}

} // namespace hawthornpick::webapi
