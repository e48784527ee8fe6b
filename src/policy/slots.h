#pragma once

#include "base/errorkind.h"
#include "base/ids.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace hawthornpick::policy {

//! A request that asks for a slot of one of the node's upstreams.
struct slot_request
{
    base::attempt_id attempt;
    base::organisation_id organisation;
    //! Share of the queue service relative to other organisations; 0 counts as 1.
    std::uint32_t weight = 1;
    base::time_point deadline;
    //! Only idempotent requests are sent to an upstream that is on probation.
    bool idempotent = false;
    //! Time of an answer that has its full value.
    base::time_point target = base::time_point::max();
    //! Time that the upstream will probably take.
    base::duration expected{};
    //! Rank of the request, 0 being the most urgent.
    std::uint32_t priority = 0;
    //! Longest expected wait that the sender accepts, as it knows of other upstreams.
    base::duration maxWait = base::duration::max();

    auto operator<=>(const slot_request &) const = default;
};

//! A slot that a request occupies until it is released.
struct slot_grant
{
    base::attempt_id attempt;
    base::upstream_id upstream;
    base::time_point since;

    auto operator<=>(const slot_grant &) const = default;
};

//! What the queue may do with an upstream. `ejection_client::admissionOf` supplies `usableSlots`
//! and `probation`.
struct upstream_admission
{
    std::uint32_t slots = 1;
    //! Slots that may be occupied at present: 0 while ejected, fewer than `slots` in slow start.
    std::uint32_t usableSlots = 1;
    //! Only idempotent requests may run, at most one each `PROBE_INTERVAL`, and none waits for it.
    bool probation = false;
    bool draining = false;

    auto operator<=>(const upstream_admission &) const = default;
};

//! Shortest time between the starts of two requests on an upstream on probation. With five requests
//! a second a returning upstream proves itself in about two seconds and a bad one costs few
//! retries.
inline constexpr base::milliseconds PROBE_INTERVAL{200};

//! Load of one service on one node, carried on answers for `selector::recordLoad`.
struct service_load
{
    std::uint32_t usableSlots = 0;
    std::uint32_t busySlots = 0;
    std::uint32_t waiting = 0;
    //! Mean time of successful requests in a slot.
    base::duration meanService{};
    //! Chance that the next request is answered, as far as its node can tell.
    double health = 1.0;
    //! Share of the requests that the upstreams take although they have a free slot.
    double acceptance = 1.0;

    auto operator<=>(const service_load &) const = default;
};

//! Called exactly once for each request that had to wait and was not cancelled: with a grant, or
//! with an error that means that the request was not run.
using slot_resume_function = std::function<void(base::result<slot_grant>)>;

} // namespace hawthornpick::policy
