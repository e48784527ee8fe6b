#include "policy/requestlimit.h"

#include <algorithm>

namespace hawthornpick::policy {

auto request_limit::onAnswer(std::optional<double> limit, base::time_point sentAt,
                             base::time_point now) -> void
{
    const bool isNewer = !m_isConfirmed || sentAt >= m_namedAt;
    m_isConfirmed = true;
    if (limit && (isNewer || !m_limit || *limit <= *m_limit)) {
        setLimit(*limit, now);
        m_namedAt = now;
    } else if (!limit && isNewer) {
        m_limit.reset();
    }
}

auto request_limit::onFormerLimit(double limit, base::time_point now) -> void
{
    if (!m_isConfirmed && (!m_limit || limit < *m_limit)) {
        setLimit(limit, now);
    }
}

auto request_limit::setLimit(double limit, base::time_point now) -> void
{
    m_starts = m_limit ? starts(now) : 0.0;
    m_refilledAt = now;
    m_limit = limit;
    m_starts = starts(now);
}

auto request_limit::startsPerSecond() const -> double
{
    return std::max(m_limit.value_or(0.0), 1.0 / base::toSeconds(MAX_START_INTERVAL));
}

auto request_limit::starts(base::time_point now) const -> double
{
    const auto rate = startsPerSecond();
    const auto refill =
            rate * base::toSeconds(std::max(now - m_refilledAt, base::duration::zero()));
    return std::min(m_starts + refill, std::max(1.0, rate * base::toSeconds(BURST_TIME)));
}

auto request_limit::hasFreeStart(base::time_point now) const -> bool
{
    return !m_limit || starts(now) >= 1.0;
}

auto request_limit::nextStart(base::time_point now) const -> base::time_point
{
    return hasFreeStart(now) ? now
                             : now + base::fromSeconds((1.0 - starts(now)) / startsPerSecond())
                                       + base::duration(1);
}

auto request_limit::tryStart(base::time_point now) -> bool
{
    if (!hasFreeStart(now)) {
        return false;
    }
    if (m_limit) {
        m_starts = starts(now) - 1.0;
        m_refilledAt = now;
    }
    return true;
}

} // namespace hawthornpick::policy
