#pragma once

#include "config/snapshot.h"
#include "policy/healthbelief.h"
#include "upstream/hooks.h"

#include <map>
#include <memory>

namespace hawthornpick::app {

//! Health of the upstreams of this host, from the requests that they run.
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

    //! Time that a request of the route probably takes.
    [[nodiscard]] auto expectedTime(const base::route_id &route) const -> base::duration;

    //! Share of the requests that the service's upstreams take although they have a free slot.
    [[nodiscard]] auto acceptanceOf(const base::service_id &service) const -> double;

    //! Chance that the next request to the service's upstreams of this host is answered; 1 without
    //! evidence, so that a new upstream gets work.
    [[nodiscard]] auto healthOf(const base::service_id &service, base::time_point now) const
            -> double;

private:
    struct upstream_state
    {
        base::incarnation incarnation = 0;
        base::service_id service;
        policy::health_belief belief;
        double acceptance = 1.0;
    };

    [[nodiscard]] auto targetOf(const base::route_id &route) const -> base::duration;
    auto stateOf(const upstream::attempt_observation &observation) -> upstream_state &;

    const config::snapshot_cell &m_configuration;
    policy::latency_model m_latencies;
    std::map<base::upstream_id, upstream_state> m_upstreams;
};

} // namespace hawthornpick::app
