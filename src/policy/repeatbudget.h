#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace hawthornpick::policy {

struct repeat_limits
{
    //! Repeats allowed per request in the window.
    double share = 0.12;
    //! Repeats allowed in each window in addition to `share`.
    double slack = 1.0;
    base::milliseconds window{10'000};

    auto operator<=>(const repeat_limits &) const = default;
};

//! Limits the repeats, that is attempts beyond the first, that this node sends to a service. The
//! limit of the fleet holds in each window without messages between nodes, because each node stays
//! within its own portion: the share of its own requests and its part of the slack.
//! Thread safety of all members: one thread.
class repeat_budget
{
public:
    explicit repeat_budget(repeat_limits limits) : m_limits(limits) {}

    //! Counts the first attempt of a request.
    auto onRequest(const base::service_id &service, base::time_point now) -> void;

    //! Takes one repeat from the budget of the service and, as the repeated request makes its calls
    //! again, `calls` from those of the called services. Returns false, and takes nothing, if one
    //! of them has too little left in the window that ends at `now`.
    auto tryRepeat(const base::service_id &service, base::time_point now,
                   const std::map<base::service_id, double> &calls = {}) -> bool;

    //! Changes this node's part of the slack when the number of nodes changes.
    auto setSlack(double slack) -> void { m_limits.slack = slack; }

private:
    struct service_state
    {
        std::deque<base::time_point> requestTimes;
        //! Times and amounts of the repeats within the window, and the sum of the amounts.
        std::deque<std::pair<base::time_point, double>> repeats;
        double repeatCount = 0.0;
    };

    auto removeExpired(service_state &state, base::time_point now) const -> void;

    repeat_limits m_limits;
    std::unordered_map<base::service_id, service_state> m_services;
};

} // namespace hawthornpick::policy
