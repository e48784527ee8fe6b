#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <unordered_map>

namespace hawthornpick::policy {

//! Log-normal distribution of the latency of the requests of each route, with parameters that
//! follow the responses.
//! Thread safety of all members: one thread.
class latency_model
{
public:
    //! Records the latency of an answered request.
    auto record(const base::route_id &route, base::duration elapsed) -> void;

    //! Returns the probability that a request of the route takes longer than `age`. `target` is the
    //! route's target latency; it determines the prior distribution.
    [[nodiscard]] auto survival(const base::route_id &route, base::duration age,
                                base::duration target) const -> double;

    //! Returns the latency that the given share of the requests does not exceed.
    [[nodiscard]] auto quantile(const base::route_id &route, double share,
                                base::duration target) const -> base::duration;

    //! Returns the mean latency.
    [[nodiscard]] auto mean(const base::route_id &route, base::duration target) const
            -> base::duration;

private:
    struct parameters
    {
        double logMean = 0.0;
        double logVariance = 0.0;
        double sampleCount = 0.0;
    };

    [[nodiscard]] auto parametersOf(const base::route_id &route, base::duration target) const
            -> parameters;

    std::unordered_map<base::route_id, parameters> m_routes;
};

} // namespace hawthornpick::policy
