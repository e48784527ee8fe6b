#include "policy/healthestimator.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::policy {

health_estimator::health_estimator(health_parameters parameters, const latency_model &latencies)
    : m_parameters(parameters), m_latencies(latencies)
{}

auto health_estimator::onStart(const base::attempt_id &attempt, const base::route_id &route,
                               base::duration target, base::time_point now) -> void
{
    discardOldRequests(now);
    m_requests.push_back({attempt, route, target, now, std::nullopt, {}});
}

auto health_estimator::onEnd(const base::attempt_id &attempt, health_evidence evidence,
                             base::time_point now) -> void
{
    const auto position =
            std::find_if(m_requests.rbegin(), m_requests.rend(),
                         [&](const request_state &item) { return item.attempt == attempt; });
    if (position == m_requests.rend()) {
        return;
    }
    if (evidence == health_evidence::Refused) {
        m_requests.erase(std::next(position).base());
        return;
    }
    position->evidence = evidence;
    position->endedAt = now;
}

auto health_estimator::discardOldRequests(base::time_point now) -> void
{
    while (!m_requests.empty()
           && (m_requests.size() >= MAX_REQUESTS
               || m_requests.front().startedAt + MAX_REQUEST_AGE < now)) {
        m_requests.pop_front();
    }
}

auto health_estimator::likelihood(const request_state &item, bool isHealthy,
                                  base::time_point now) const -> double
{
    const double failureShare =
            isHealthy ? m_parameters.healthyFailureShare : m_parameters.failingFailureShare;
    if (item.evidence == health_evidence::Answered) {
        return 1.0 - failureShare;
    }
    if (item.evidence == health_evidence::Failed) {
        return failureShare;
    }
    if (item.evidence == health_evidence::ServerError) {
        return isHealthy ? m_parameters.healthyServerErrorShare
                         : m_parameters.failingServerErrorShare;
    }
    const auto age = (item.evidence ? item.endedAt : now) - item.startedAt;
    const double stillInFlight = m_latencies.survival(item.route, age, item.target);
    return failureShare + (1.0 - failureShare) * stillInFlight;
}

auto health_estimator::health(base::time_point now) const -> double
{
    const double failingRate = 1.0 / base::toSeconds(m_parameters.meanHealthyTime);
    const double recoveryRate = 1.0 / base::toSeconds(m_parameters.meanFailingTime);
    const double stationaryHealthy = recoveryRate / (recoveryRate + failingRate);
    double healthy = stationaryHealthy;
    auto filteredUntil = m_requests.empty() ? now : m_requests.front().startedAt;
    const auto advance = [&](base::time_point to) {
        const double retained = std::exp(-(failingRate + recoveryRate)
                                         * std::max(0.0, base::toSeconds(to - filteredUntil)));
        healthy = stationaryHealthy + (healthy - stationaryHealthy) * retained;
        filteredUntil = to;
    };
    for (const auto &item : m_requests) {
        advance(item.startedAt);
        const double jointHealthy = healthy * likelihood(item, true, now);
        const double jointFailing = (1.0 - healthy) * likelihood(item, false, now);
        healthy = jointHealthy / (jointHealthy + jointFailing);
    }
    advance(now);
    return healthy * (1.0 - m_parameters.healthyFailureShare)
           + (1.0 - healthy) * (1.0 - m_parameters.failingFailureShare);
}

} // namespace hawthornpick::policy
