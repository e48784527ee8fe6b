#pragma once

#include "base/ids.h"

#include <compare>
#include <optional>
#include <vector>

namespace hawthornpick::upstream {

//! What an incarnation of an upstream has said of itself in its answers, as nodes tell each other.
struct upstream_statement
{
    base::upstream_id upstream;
    base::incarnation incarnation = 0;
    //! Requests per second that it takes from all nodes together; nothing if it names no limit.
    std::optional<double> requestLimit;
    bool isLeaving = false;

    auto operator<=>(const upstream_statement &) const = default;
};

//! What the upstreams of one service on one node have said.
struct statement_report
{
    //! Of the upstreams that name a limit or leave.
    std::vector<upstream_statement> statements;
    //! False if an upstream may have said to a former process of the node what isn't known to the
    //! present one.
    bool isComplete = true;

    auto operator<=>(const statement_report &) const = default;
};

} // namespace hawthornpick::upstream
