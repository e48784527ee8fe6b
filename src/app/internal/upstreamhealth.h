#pragma once

#include "config/snapshot.h"
#include "policy/healthestimator.h"
#include "upstream/hooks.h"

#include <map>
#include <memory>

namespace hawthornpick::app {

//! Estimates the health of the upstreams of this host from the attempts that they execute.
//! Thread safety of all members: the node's thread.
class upstream_health
{
public:
    //! Precondition: `configuration` outlives the object.
    explicit upstream_health(const config::snapshot_cell &configuration)
        : m_configuration(configuration)
    {}

    auto onStart(const upstream::attempt_observation &observation) -> void;
    auto onFinish(const upstream::attempt_observation &observation,
                  const upstream::attempt_finish &finish) -> void;

    //! Returns the mean latency of the route, or an estimate from its target latency if there are
    //! no samples.
    [[nodiscard]] auto expectedLatency(const base::route_id &route) const -> base::duration;

    //! Returns the share of attempts, from 0 to 1, that the service's upstreams of this host accept
    //! while they have a free slot; the lowest one if there are several upstreams.
    [[nodiscard]] auto acceptanceRatioOf(const base::service_id &service) const -> double;

    //! Returns the probability that the service's upstreams of this host answer the next request;
    //! the lowest one if there are several upstreams, and 1 without samples, so that a new upstream
    //! gets requests.
    [[nodiscard]] auto successProbabilityOf(const base::service_id &service,
                                            base::time_point now) const -> double;

private:
    struct upstream_state
    {
        base::incarnation incarnation = 0;
        base::service_id service;
        policy::health_estimator healthEstimate;
        double acceptanceRatio = 1.0;
    };

    [[nodiscard]] auto targetLatencyOf(const base::route_id &route) const -> base::duration;
    auto stateOf(const upstream::attempt_observation &observation) -> upstream_state &;

    const config::snapshot_cell &m_configuration;
    policy::latency_model m_latencies;
    std::map<base::upstream_id, upstream_state> m_upstreams;
};

} // namespace hawthornpick::app
