#include "policy/callratio.h"

#include <cmath>

namespace hawthornpick::policy {

auto call_ratio::decay(base::time_point now) -> void
{
    const double factor =
            std::exp(-base::toSeconds(now - m_decayedAt) / base::toSeconds(TIME_CONSTANT));
    m_decayedAt = now;
    m_runs *= factor;
    for (auto &[service, calls] : m_calls) {
        calls *= factor;
    }
}

auto call_ratio::onRun(base::time_point now) -> void
{
    decay(now);
    m_runs += 1.0;
}

auto call_ratio::onCall(const base::service_id &service, base::time_point now) -> void
{
    decay(now);
    m_calls[service] += 1.0;
}

auto call_ratio::callsPerRun(base::time_point now) -> std::map<base::service_id, double>
{
    decay(now);
    std::map<base::service_id, double> ratios;
    if (m_runs < MIN_RUNS) {
        return ratios;
    }
    for (const auto &[service, calls] : m_calls) {
        ratios[service] = calls / m_runs;
    }
    return ratios;
}

} // namespace hawthornpick::policy
