#pragma once

#include "config/model.h"

#include <algorithm>
#include <cstdint>

namespace hawthornpick::config {

//! Number of route priorities that are told apart within one priority of an organisation.
inline constexpr std::uint32_t ROUTE_PRIORITY_COUNT = 4;

//! Returns the priority rank of a request, 0 being the most urgent: the priority of its
//! organisation decides, then that of its route. Calls of upstreams have no organisation and the
//! highest priority. Thread safety: pure.
inline auto priorityRank(const organisation *owner, const route &requested) -> std::uint32_t
{
    const auto ownerPriority = owner == nullptr ? 0U : owner->priority;
    return ownerPriority * ROUTE_PRIORITY_COUNT
           + std::min(requested.priority, ROUTE_PRIORITY_COUNT - 1);
}

} // namespace hawthornpick::config
