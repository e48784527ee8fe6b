#include "app/internal/upstreamhealth.h"

#include <algorithm>

namespace hawthornpick::app {

namespace {

//! When more than these have had requests, all are forgotten and learned anew.
constexpr std::size_t MAX_UPSTREAMS = 64;
constexpr double ACCEPTANCE_SMOOTHING = 0.15;
//! Target of requests whose route only a newer configuration has.
constexpr base::milliseconds UNKNOWN_TARGET{1000};

auto evidenceOf(upstream::attempt_ending ending) -> policy::health_evidence
{
    switch (ending) {
    case upstream::attempt_ending::Answered:
        return policy::health_evidence::Answered;
    case upstream::attempt_ending::ServerError:
        return policy::health_evidence::ServerError;
    case upstream::attempt_ending::ConnectFailed:
    case upstream::attempt_ending::ConnectionLost:
    case upstream::attempt_ending::Truncated:
        return policy::health_evidence::Failed;
    case upstream::attempt_ending::Refused:
        return policy::health_evidence::Refused;
    // What these show is how long the request went without an answer.
    case upstream::attempt_ending::TimedOut:
    case upstream::attempt_ending::DeadlinePassed:
    case upstream::attempt_ending::Cancelled:
        break;
    }
    return policy::health_evidence::Cancelled;
}

} // namespace

auto upstream_health::stateOf(const upstream::attempt_observation &observation) -> upstream_state &
{
    const auto position = m_upstreams.find(observation.upstream);
    if (position != m_upstreams.end()
        && position->second.incarnation == observation.upstreamIncarnation) {
        return position->second;
    }
    if (m_upstreams.size() >= MAX_UPSTREAMS) {
        m_upstreams.clear();
    }
    m_upstreams.erase(observation.upstream);
    const upstream_state fresh{observation.upstreamIncarnation, observation.service,
                               policy::health_belief({}, m_latencies), 1.0};
    return m_upstreams.emplace(observation.upstream, fresh).first->second;
}

auto upstream_health::onStart(const upstream::attempt_observation &observation) -> void
{
    stateOf(observation)
            .belief.onStart(observation.attempt, observation.route, targetOf(observation.route),
                            observation.started);
}

auto upstream_health::targetOf(const base::route_id &route) const -> base::duration
{
    const auto snapshot = m_configuration.load();
    const auto *found = config::findRoute(snapshot->set(), route);
    return found == nullptr ? UNKNOWN_TARGET : found->effectiveTarget();
}

auto upstream_health::expectedTime(const base::route_id &route) const -> base::duration
{
    return m_latencies.mean(route, targetOf(route));
}

auto upstream_health::onFinish(const upstream::attempt_observation &observation,
                               const upstream::attempt_finish &finish) -> void
{
    const auto now = observation.started + finish.latency;
    const auto evidence = evidenceOf(finish.ending);
    if (evidence == policy::health_evidence::Answered) {
        m_latencies.record(observation.route, finish.latency);
    }
    auto &state = stateOf(observation);
    state.belief.onEnd(observation.attempt, evidence, now);
    const double taken = evidence == policy::health_evidence::Refused ? 0.0 : 1.0;
    state.acceptance += ACCEPTANCE_SMOOTHING * (taken - state.acceptance);
}

auto upstream_health::acceptanceOf(const base::service_id &service) const -> double
{
    double acceptance = 1.0;
    for (const auto &[id, state] : m_upstreams) {
        if (state.service == service) {
            acceptance = std::min(acceptance, state.acceptance);
        }
    }
    return acceptance;
}

auto upstream_health::healthOf(const base::service_id &service, base::time_point now) const
        -> double
{
    double health = 1.0;
    for (const auto &[id, state] : m_upstreams) {
        if (state.service == service) {
            health = std::min(health, state.belief.health(now));
        }
    }
    return health;
}

} // namespace hawthornpick::app
