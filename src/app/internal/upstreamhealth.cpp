#include "app/internal/upstreamhealth.h"

#include <algorithm>

namespace hawthornpick::app {

namespace {

//! When this many upstreams are tracked, a new one clears the state of all.
constexpr std::size_t MAX_TRACKED_UPSTREAMS = 64;
constexpr double ACCEPTANCE_SMOOTHING_FACTOR = 0.15;
//! Target latency of requests whose route is not in this node's configuration yet.
constexpr base::milliseconds DEFAULT_TARGET_LATENCY{1000};

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
    // The only evidence of these endings is the time that passed without a response.
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
    if (m_upstreams.size() >= MAX_TRACKED_UPSTREAMS) {
        m_upstreams.clear();
    }
    m_upstreams.erase(observation.upstream);
    const upstream_state initialState{observation.upstreamIncarnation, observation.service,
                                      policy::health_estimator({}, m_latencies), 1.0};
    return m_upstreams.emplace(observation.upstream, initialState).first->second;
}

auto upstream_health::onStart(const upstream::attempt_observation &observation) -> void
{
    stateOf(observation)
            .healthEstimate.onStart(observation.attempt, observation.route,
                                    targetLatencyOf(observation.route), observation.started);
}

auto upstream_health::targetLatencyOf(const base::route_id &route) const -> base::duration
{
    const auto snapshot = m_configuration.load();
    const auto *routeConfig = config::findRoute(snapshot->set(), route);
    return routeConfig == nullptr ? DEFAULT_TARGET_LATENCY : routeConfig->effectiveTarget();
}

auto upstream_health::expectedLatency(const base::route_id &route) const -> base::duration
{
    return m_latencies.mean(route, targetLatencyOf(route));
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
    state.healthEstimate.onEnd(observation.attempt, evidence, now);
    const double accepted = evidence == policy::health_evidence::Refused ? 0.0 : 1.0;
    state.acceptanceRatio += ACCEPTANCE_SMOOTHING_FACTOR * (accepted - state.acceptanceRatio);
}

auto upstream_health::acceptanceRatioOf(const base::service_id &service) const -> double
{
    double lowestRatio = 1.0;
    for (const auto &[id, state] : m_upstreams) {
        if (state.service == service) {
            lowestRatio = std::min(lowestRatio, state.acceptanceRatio);
        }
    }
    return lowestRatio;
}

auto upstream_health::successProbabilityOf(const base::service_id &service,
                                           base::time_point now) const -> double
{
    double lowestProbability = 1.0;
    for (const auto &[id, state] : m_upstreams) {
        if (state.service == service) {
            lowestProbability = std::min(lowestProbability, state.healthEstimate.health(now));
        }
    }
    return lowestProbability;
}

} // namespace hawthornpick::app
