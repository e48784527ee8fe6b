#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

namespace hawthornpick::quorum {

//! How the body of a change describes the new document.
enum class change_format : std::uint8_t {
    //! The body is the whole document.
    Whole,
    //! The body names items to set and to remove.
    Patch,
};

//! Change of the configuration that an operator asks for.
struct config_change
{
    //! Version that the change builds on; nothing if the operator named none.
    std::optional<base::config_version> base;
    base::config_version version = 0;
    change_format format = change_format::Whole;
    std::string body;
    //! Equal for repetitions of the same change only.
    std::string digest;

    auto operator<=>(const config_change &) const = default;
};

//! The change is committed, now or by an earlier request with the same digest.
struct change_accepted
{
    base::config_version version = 0;

    auto operator<=>(const change_accepted &) const = default;
};

//! Another version than the named base is current.
struct change_conflict
{
    base::config_version current = 0;

    auto operator<=>(const change_conflict &) const = default;
};

struct change_invalid
{
    std::string detail;

    auto operator<=>(const change_invalid &) const = default;
};

//! No majority could be reached in time; the change may or may not be committed later.
struct group_unavailable
{
    std::string detail;

    auto operator<=>(const group_unavailable &) const = default;
};

//! Answer to a confirmed read.
struct current_document
{
    base::config_version version = 0;
    std::string content;

    auto operator<=>(const current_document &) const = default;
};

using group_answer = std::variant<change_accepted, change_conflict, change_invalid,
                                  group_unavailable, current_document>;

//! Returns the document after a change of `current`, or why the change is invalid.
using edit_function = std::function<tl::expected<std::string, std::string>(
        base::config_version currentVersion, const std::string &current,
        const config_change &change)>;

} // namespace hawthornpick::quorum
