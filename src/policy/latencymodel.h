#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <unordered_map>

namespace hawthornpick::policy {

//! Distribution of the time that requests of a route take, as a log-normal distribution whose
//! parameters follow the answers. Thread safety of all members: one thread.
class latency_model
{
public:
    //! Records the time of an answered request.
    auto record(const base::route_id &route, base::duration elapsed) -> void;

    //! Probability that a request of the route takes longer than `age`. `target` is the time in
    //! which operators want answers; it stands in until answers were seen.
    [[nodiscard]] auto survival(const base::route_id &route, base::duration age,
                                base::duration target) const -> double;

    //! Time within which the given share of the requests is answered.
    [[nodiscard]] auto quantile(const base::route_id &route, double share,
                                base::duration target) const -> base::duration;

    //! Mean time.
    [[nodiscard]] auto mean(const base::route_id &route, base::duration target) const
            -> base::duration;

private:
    struct parameters
    {
        double logMean = 0.0;
        double logVariance = 0.0;
        double weight = 0.0;
    };

    [[nodiscard]] auto parametersOf(const base::route_id &route, base::duration target) const
            -> parameters;

    std::unordered_map<base::route_id, parameters> m_routes;
};

} // namespace hawthornpick::policy
