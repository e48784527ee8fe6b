#include "policy/coldstartgate.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::policy {

namespace {

//! Number of requests that may start in one window.
struct window_limit
{
    std::uint64_t starts = 0;
    base::duration window{};
};

// A rate below one request per second allows one in a longer window.
auto limitOf(const cold_terms &terms) -> window_limit
{
    const auto rate = terms.startRate();
    if (rate <= 0.0) {
        return {0, cold_start_gate::START_WINDOW};
    }
    constexpr double MAX_STARTS = 1e6;
    if (rate >= 1.0) {
        return {static_cast<std::uint64_t>(std::floor(std::min(rate, MAX_STARTS))),
                cold_start_gate::START_WINDOW};
    }
    constexpr double MAX_WINDOW_SECONDS = 86'400.0;
    const auto window = base::fromSeconds(std::min(1.0 / rate, MAX_WINDOW_SECONDS));
    return {1, std::max<base::duration>(window, cold_start_gate::START_WINDOW)};
}

} // namespace

auto cold_start_gate::onAnnouncement(bool isNewIncarnation,
                                     std::optional<base::duration> coldRemaining,
                                     base::time_point now) -> void
{
    if (isNewIncarnation) {
        m_doubtSince = now;
        m_trustsFrom = now;
        m_coldUntil = base::time_point::min();
        m_isAnswered = false;
    }
    if (!coldRemaining) {
        return;
    }
    const bool keepsAnswer = m_isAnswered && now < m_coldUntil;
    const auto announcedUntil = now + *coldRemaining;
    m_coldUntil = keepsAnswer ? std::max(m_coldUntil, announcedUntil) : announcedUntil;
    m_isAnswered = keepsAnswer;
    if (now >= m_trustsFrom) {
        m_doubtSince.reset();
    }
}

auto cold_start_gate::onAnswer(base::duration coldRemaining, base::time_point askedAt,
                               base::time_point now) -> void
{
    if (m_doubtSince && askedAt < *m_doubtSince) {
        m_coldUntil = std::max(m_coldUntil, now + coldRemaining);
        return;
    }
    m_doubtSince.reset();
    m_coldUntil = now + coldRemaining;
    m_isAnswered = true;
}

auto cold_start_gate::onDoubt(base::time_point now) -> void
{
    m_doubtSince = now;
    m_trustsFrom = now + MAX_ANNOUNCEMENT_DELAY;
}

auto cold_start_gate::state(const cold_terms &terms, base::time_point now) const -> cold_state
{
    if (!terms.isLimited()) {
        return cold_state::Warm;
    }
    if (now < m_coldUntil) {
        return cold_state::Cold;
    }
    const bool isInDoubt =
            m_doubtSince
            && (terms.coldTime <= base::duration::zero() || now < *m_doubtSince + terms.coldTime);
    return isInDoubt ? cold_state::InDoubt : cold_state::Warm;
}

auto cold_start_gate::startsForQuestion(base::time_point now) const -> std::uint64_t
{
    return now < m_questionPrecedesUntil ? 1 : 0;
}

auto cold_start_gate::hasFreeStart(const cold_terms &terms, base::time_point now,
                                   std::uint64_t keptStarts) const -> bool
{
    const auto limit = limitOf(terms);
    const auto firstInWindow =
            std::lower_bound(m_sentTimes.begin(), m_sentTimes.end(), now - limit.window);
    const auto sentCount = static_cast<std::uint64_t>(m_sentTimes.end() - firstInWindow);
    return sentCount + m_reservedCount + keptStarts < limit.starts;
}

auto cold_start_gate::tryReserve(const cold_terms &terms, base::time_point now) -> bool
{
    const bool isLimited = state(terms, now) != cold_state::Warm;
    if (isLimited && !hasFreeStart(terms, now, startsForQuestion(now))) {
        return false;
    }
    ++m_reservedCount;
    return true;
}

auto cold_start_gate::onSent(const cold_terms &terms, base::time_point now) -> void
{
    cancelReservation();
    // The window is searched by time.
    m_sentTimes.push_back(m_sentTimes.empty() ? now : std::max(now, m_sentTimes.back()));
    while (m_sentTimes.size() > limitOf(terms).starts) {
        m_sentTimes.pop_front();
    }
}

auto cold_start_gate::cancelReservation() -> void
{
    m_reservedCount -= std::min<std::uint64_t>(m_reservedCount, 1);
}

auto cold_start_gate::expectQuestion(base::time_point now) -> void
{
    m_questionPrecedesUntil = now + START_WINDOW;
}

auto cold_start_gate::tryReserveQuestion(const cold_terms &terms, base::time_point now) -> bool
{
    if (state(terms, now) != cold_state::Warm && !hasFreeStart(terms, now, 0)) {
        m_questionPrecedesUntil = now + limitOf(terms).window;
        return false;
    }
    cancelQuestion();
    ++m_reservedCount;
    return true;
}

auto cold_start_gate::nextStart(const cold_terms &terms, base::time_point now) const
        -> base::time_point
{
    const auto limit = limitOf(terms);
    if (state(terms, now) == cold_state::Warm || hasFreeStart(terms, now, 0)) {
        return now;
    }
    if (limit.starts == 0) {
        return base::time_point::max();
    }
    if (m_reservedCount >= limit.starts) {
        return now + limit.window;
    }
    // The oldest request whose end of the window leaves a free start.
    const auto keptCount = limit.starts - m_reservedCount;
    const auto oldest = m_sentTimes[m_sentTimes.size() - keptCount];
    return oldest + limit.window + base::duration(1);
}

} // namespace hawthornpick::policy
