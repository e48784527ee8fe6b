#pragma once

#include "base/errorkind.h"
#include "base/ids.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace hawthornpick::policy {

//! A request that asks for a slot of one of the node's upstreams.
struct slot_request
{
    base::attempt_id attempt;
    base::organisation_id organisation;
    //! Weight of the organisation in the distribution of slots; 0 counts as 1.
    std::uint32_t weight = 1;
    base::time_point deadline;
    //! Only idempotent requests are sent to an upstream that is on probation.
    bool idempotent = false;
    //! Time by which a response is on time; a later one still counts until the deadline.
    base::time_point target = base::time_point::max();
    //! Expected service time at the upstream.
    base::duration expectedServiceTime{};
    //! Priority rank of the request; 0 is the most urgent.
    std::uint32_t priority = 0;
    //! Longest expected wait that the sender accepts, given the other upstreams that it knows of.
    base::duration maxWait = base::duration::max();

    auto operator<=>(const slot_request &) const = default;
};

//! A slot that a request occupies until it is released.
struct slot_grant
{
    base::attempt_id attempt;
    base::upstream_id upstream;
    base::time_point grantedAt;

    auto operator<=>(const slot_grant &) const = default;
};

//! Limits on the use of an upstream's slots. `ejection_client::admissionOf` supplies `usableSlots`
//! and `probation`.
struct upstream_admission
{
    std::uint32_t slots = 1;
    //! Slots that may be occupied at present: 0 while the upstream is ejected, fewer than `slots`
    //! during slow start.
    std::uint32_t usableSlots = 1;
    //! Only idempotent requests may start, at most one each `PROBE_INTERVAL`, and none waits for
    //! this upstream.
    bool probation = false;
    bool draining = false;

    auto operator<=>(const upstream_admission &) const = default;
};

//! Minimum time between the starts of two requests at an upstream on probation. At five requests
//! per second a healthy upstream ends its probation in about two seconds, and a failing one causes
//! few retries.
inline constexpr base::milliseconds PROBE_INTERVAL{200};

//! Load of one service on one node, carried on responses.
struct service_load
{
    std::uint32_t usableSlots = 0;
    std::uint32_t busySlots = 0;
    std::uint32_t waiting = 0;
    //! Mean service time of successful requests.
    base::duration meanServiceTime{};
    //! Probability that the next request is answered, as estimated by the reporting node.
    double health = 1.0;
    //! Share of the requests that the upstreams accept although they have a free slot, 0 to 1.
    double acceptance = 1.0;
    //! Requests with a higher priority rank than this are refused at present.
    std::uint32_t lowestRank = std::numeric_limits<std::uint32_t>::max();
    //! Requests per second that the upstreams may be given because they are cold or name a limit;
    //! negative if one of them is neither.
    double startRate = -1.0;

    auto operator<=>(const service_load &) const = default;
};

//! Called exactly once for each request that had to wait and was not cancelled: with a grant, or
//! with an error that means that the request was not started.
using slot_resume_function = std::function<void(base::result<slot_grant>)>;

} // namespace hawthornpick::policy
