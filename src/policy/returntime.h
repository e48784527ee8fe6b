#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace hawthornpick::policy {

//! Backlog of a service and the rate at which it is worked off, summed over its upstreams.
struct service_backlog
{
    double waiting = 0.0;
    double freeSlots = 0.0;
    //! Requests that the upstreams end per second while all their slots are busy.
    double endsPerSecond = 0.0;

    auto operator<=>(const service_backlog &) const = default;
};

//! Times after which callers should return that one entry node refused for lack of room. For a
//! service that refuses hundreds of callers within a moment: if they return together, most of them
//! are refused again.
//!
//! A caller returns once the backlog of the service is worked off and those refused before it, of
//! its rank or a more urgent one, have returned, one after the other at the rate at which room
//! appears. No caller is sent away for more than a third of the time that it has left; those that
//! would be are spread over the later half of that third.
//! Thread safety of all members: one thread.
class return_time
{
public:
    //! Largest part of the time left that a caller is sent away for, as a divisor.
    static constexpr int TIME_LEFT_DIVISOR = 3;

    explicit return_time(std::uint64_t seed) : m_random(seed) {}

    //! Returns the time after which a caller of the given rank should return, and counts it as
    //! returning then; nothing if the service has as many free slots as waiting requests, or if
    //! nothing is known of it. `entryNodes` share the room. Precondition: `entryNodes` > 0.
    auto next(const base::service_id &service, std::uint32_t rank, const service_backlog &backlog,
              base::duration timeLeft, std::size_t entryNodes, base::time_point now)
            -> std::optional<base::duration>;

private:
    //! Time until which the returns of each rank are planned.
    using plan = std::map<std::uint32_t, base::time_point>;

    base::random_source m_random;
    std::unordered_map<base::service_id, plan> m_plans;
};

} // namespace hawthornpick::policy
