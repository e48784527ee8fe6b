#pragma once

#include "base/ids.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <vector>

namespace hawthornpick::base {

//! An order of an operator that no request is sent to the upstreams of a failure domain.
struct evacuation
{
    failure_domain_id failureDomain;
    //! Wall-clock time of the order in milliseconds since 1970-01-01 UTC; for display only.
    std::uint64_t since = 0;

    auto operator<=>(const evacuation &) const = default;
};

//! The evacuations in force. Of two lists, the one with the higher revision is newer.
struct evacuation_list
{
    //! Number of changes that led to this list.
    std::uint64_t revision = 0;
    //! Sorted by failure domain.
    std::vector<evacuation> items;

    //! Thread safety: immutable.
    [[nodiscard]] auto contains(const failure_domain_id &failureDomain) const -> bool
    {
        return std::any_of(items.begin(), items.end(), [&](const evacuation &item) {
            return item.failureDomain == failureDomain;
        });
    }

    auto operator<=>(const evacuation_list &) const = default;
};

} // namespace hawthornpick::base
