#pragma once

#include "base/time.h"

#include <compare>
#include <optional>

namespace hawthornpick::policy {

//! Decides when a request that may be repeated gets a further attempt while earlier ones hang. An
//! attempt is planned while its response can still meet the target, or else the deadline. Load
//! pattern: a third of the upstreams hang for seconds, so that a hedge often hangs too or is
//! refused. The number of attempts and the repeat budget are limited elsewhere. Thread safety of
//! all members: immutable.
class hedge_plan
{
public:
    //! `usualDelay` is the wait before a hedge if there is enough time. `expectedLatency` is the
    //! mean latency of an attempt. Precondition: both are positive.
    hedge_plan(base::duration usualDelay, base::duration expectedLatency)
        : m_usualDelay(usualDelay), m_expectedLatency(expectedLatency)
    {}

    //! Returns the time from now until the next attempt, or nothing if its response would come too
    //! late. An attempt in flight gets the time that one usually takes, if there is so much.
    [[nodiscard]] auto nextDelay(base::time_point now, base::time_point target,
                                 base::time_point deadline) const -> std::optional<base::duration>;

    auto operator<=>(const hedge_plan &) const = default;

private:
    base::duration m_usualDelay;
    base::duration m_expectedLatency;
};

} // namespace hawthornpick::policy
