#include "limits/internal/tokenbucket.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::limits {

namespace {

// Rounding of floating-point sums; far below one token.
constexpr double EPSILON = 1e-9;
constexpr double MAX_WAIT_SECONDS = 3600.0;

} // namespace

auto token_bucket::setTerms(double rate, double burst, base::time_point now) -> void
{
    // A process that was paused learns of a lower rate late; the time since the last refill then
    // belongs to the new rate.
    m_rate = std::min(m_rate, rate);
    refill(now);
    m_rate = rate;
    m_burst = burst;
    clampLevel();
}

auto token_bucket::refill(base::time_point now) -> void
{
    for (auto item = m_grants.begin(); item != m_grants.end();) {
        if (now < item->until) {
            ++item;
            continue;
        }
        accrue(item->until);
        m_outstanding -= item->tokens;
        item = m_grants.erase(item);
    }
    accrue(now);
}

auto token_bucket::accrue(base::time_point now) -> void
{
    if (now > m_filledAt) {
        m_level += m_rate * base::toSeconds(now - m_filledAt);
        m_filledAt = now;
    }
    clampLevel();
}

auto token_bucket::clampLevel() -> void
{
    m_level = std::clamp(m_level, 0.0, std::max(0.0, m_burst - static_cast<double>(m_outstanding)));
}

auto token_bucket::full() const -> bool
{
    return m_outstanding == 0 && m_level + EPSILON >= m_burst;
}

auto token_bucket::issue(grant item) -> void
{
    m_level -= item.tokens;
    m_outstanding += item.tokens;
    m_grants.push_back(std::move(item));
}

auto token_bucket::find(const base::node_id &entry, std::int64_t sequence) const -> const grant *
{
    const auto found = std::find_if(m_grants.begin(), m_grants.end(), [&](const grant &item) {
        return item.sequence == sequence && item.entry == entry;
    });
    return found == m_grants.end() ? nullptr : &*found;
}

auto token_bucket::close(const base::node_id &entry, std::int64_t sequence, std::int32_t unused)
        -> std::int32_t
{
    const auto *known = find(entry, sequence);
    if (known == nullptr) {
        return 0;
    }
    const auto back = std::clamp(unused, 0, known->tokens);
    m_outstanding -= known->tokens;
    m_level += back;
    m_grants.erase(m_grants.begin() + (known - m_grants.data()));
    clampLevel();
    return back;
}

auto token_bucket::withdraw(double tokens) -> double
{
    const auto taken = std::clamp(tokens, 0.0, m_level);
    m_level -= taken;
    return taken;
}

auto token_bucket::deposit(double tokens) -> void
{
    m_level += std::max(0.0, tokens);
    clampLevel();
}

auto token_bucket::timeToToken() const -> base::duration
{
    if (m_level >= 1.0) {
        return base::duration{0};
    }
    const auto seconds = m_rate > 0.0 ? (1.0 - m_level) / m_rate : MAX_WAIT_SECONDS;
    return base::fromSeconds(std::min(seconds, MAX_WAIT_SECONDS));
}

} // namespace hawthornpick::limits
