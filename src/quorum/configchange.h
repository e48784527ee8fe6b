#pragma once

#include "base/evacuation.h"
#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

namespace hawthornpick::quorum {

//! Format of the body of a change.
enum class change_format : std::uint8_t {
    //! The body is the complete new document.
    Whole,
    //! The body lists the items to set and the items to remove.
    Patch,
};

//! Configuration change requested by an operator.
struct config_change
{
    //! Version that the change requires as the current one; nothing if the operator gave none.
    std::optional<base::config_version> baseVersion;
    //! Version of the new document; must be greater than the current version.
    base::config_version version = 0;
    change_format format = change_format::Whole;
    std::string body;
    //! Identifies the change: equal only for repetitions of the same change.
    std::string digest;

    auto operator<=>(const config_change &) const = default;
};

//! Start or end of the evacuation of a failure domain, requested by an operator. The node that the
//! operator called reads the list first and bases the order on it, so that a copy that is delayed
//! until after a later order changes nothing, whatever the clocks of the nodes say.
struct evacuation_order
{
    //! Random; equal only for repetitions of the same order.
    std::uint64_t id = 0;
    //! Revision of the list that the order was checked against. The order is applied only to this
    //! revision.
    std::uint64_t baseRevision = 0;
    base::failure_domain_id failureDomain;
    //! False for an order that ends the evacuation.
    bool starts = true;
    //! Wall-clock time of the order in milliseconds since 1970-01-01 UTC.
    std::uint64_t since = 0;

    auto operator<=>(const evacuation_order &) const = default;
};

//! The change is committed, by this request or by an earlier one with the same digest.
struct change_accepted
{
    base::config_version version = 0;

    auto operator<=>(const change_accepted &) const = default;
};

//! The current version differs from the base version of the change.
struct change_conflict
{
    base::config_version currentVersion = 0;

    auto operator<=>(const change_conflict &) const = default;
};

//! The version or the body of the change is not valid; `detail` says why.
struct change_invalid
{
    std::string detail;

    auto operator<=>(const change_invalid &) const = default;
};

//! No majority confirmed the request before its deadline. A change may still be committed later.
struct group_unavailable
{
    std::string detail;

    auto operator<=>(const group_unavailable &) const = default;
};

//! Answer to a read that a majority has confirmed.
struct current_document
{
    base::config_version version = 0;
    std::string content;

    auto operator<=>(const current_document &) const = default;
};

//! The evacuation order is committed, by this request or by an earlier one with the same id.
struct order_accepted
{
    auto operator<=>(const order_accepted &) const = default;
};

//! The evacuation order was not applied, because another one came after its base revision. A copy
//! of an order that was applied gets this answer only after `MAX_RETAINED_ORDERS` others.
struct order_outdated
{
    auto operator<=>(const order_outdated &) const = default;
};

//! Answer to a read of the evacuations that a majority has confirmed.
struct current_evacuations
{
    base::evacuation_list list;

    auto operator<=>(const current_evacuations &) const = default;
};

using group_answer =
        std::variant<change_accepted, change_conflict, change_invalid, group_unavailable,
                     current_document, order_accepted, order_outdated, current_evacuations>;

//! Returns the document that results from applying `change` to `current`, or the reason why the
//! change is invalid.
using edit_function = std::function<tl::expected<std::string, std::string>(
        base::config_version currentVersion, const std::string &current,
        const config_change &change)>;

} // namespace hawthornpick::quorum
