#pragma once

#include "base/ids.h"

#include <compare>
#include <map>

namespace hawthornpick::base {

//! Use of an organisation's limit, at one node or summed up over the fleet.
struct rate_usage
{
    //! Requests per second that callers ask for.
    double demand = 0.0;
    //! Requests admitted within the window of the limit.
    double admitted = 0.0;

    auto operator<=>(const rate_usage &) const = default;
};

using usage_map = std::map<organisation_id, rate_usage>;

} // namespace hawthornpick::base
