#include "policy/healthbelief.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::policy {

health_belief::health_belief(health_parameters parameters, const latency_model &latencies)
    : m_parameters(parameters), m_latencies(latencies)
{}

auto health_belief::onStart(const base::attempt_id &attempt, const base::route_id &route,
                            base::duration target, base::time_point now) -> void
{
    forget(now);
    m_requests.push_back({attempt, route, target, now, std::nullopt, {}});
}

auto health_belief::onEnd(const base::attempt_id &attempt, health_evidence evidence,
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
    position->ended = now;
}

auto health_belief::forget(base::time_point now) -> void
{
    while (!m_requests.empty()
           && (m_requests.size() >= MAX_REQUESTS || m_requests.front().started + MEMORY < now)) {
        m_requests.pop_front();
    }
}

auto health_belief::likelihood(const request_state &item, bool isGood, base::time_point now) const
        -> double
{
    const double failureShare =
            isGood ? m_parameters.goodFailureShare : m_parameters.badFailureShare;
    if (item.evidence == health_evidence::Answered) {
        return 1.0 - failureShare;
    }
    if (item.evidence == health_evidence::Failed) {
        return failureShare;
    }
    if (item.evidence == health_evidence::ServerError) {
        return isGood ? m_parameters.goodErrorShare : m_parameters.badErrorShare;
    }
    const auto age = (item.evidence ? item.ended : now) - item.started;
    const double unanswered = m_latencies.survival(item.route, age, item.target);
    return failureShare + (1.0 - failureShare) * unanswered;
}

auto health_belief::health(base::time_point now) const -> double
{
    const double toBad = 1.0 / base::toSeconds(m_parameters.meanGoodTime);
    const double toGood = 1.0 / base::toSeconds(m_parameters.meanBadTime);
    const double usual = toGood / (toGood + toBad);
    double good = usual;
    auto at = m_requests.empty() ? now : m_requests.front().started;
    const auto advance = [&](base::time_point to) {
        const double kept = std::exp(-(toBad + toGood) * std::max(0.0, base::toSeconds(to - at)));
        good = usual + (good - usual) * kept;
        at = to;
    };
    for (const auto &item : m_requests) {
        advance(item.started);
        const double ifGood = good * likelihood(item, true, now);
        const double ifBad = (1.0 - good) * likelihood(item, false, now);
        good = ifGood / (ifGood + ifBad);
    }
    advance(now);
    return good * (1.0 - m_parameters.goodFailureShare)
           + (1.0 - good) * (1.0 - m_parameters.badFailureShare);
}

} // namespace hawthornpick::policy
