#pragma once

#include "base/ids.h"

#include <compare>
#include <map>

namespace hawthornpick::base {

//! Demand and admitted requests of an organisation with a rate limit, at one node or summed over
//! the fleet.
struct rate_usage
{
    //! Requests per second that callers send, whether admitted or not.
    double demand = 0.0;
    //! Number of requests admitted within the window of the limit.
    double admitted = 0.0;

    auto operator<=>(const rate_usage &) const = default;
};

using usage_map = std::map<organisation_id, rate_usage>;

} // namespace hawthornpick::base
