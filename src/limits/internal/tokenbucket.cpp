#include "limits/internal/tokenbucket.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::limits {

namespace {

// Tolerance for rounding errors of floating-point sums, in tokens.
constexpr double LEVEL_EPSILON = 1e-9;
constexpr double MAX_WAIT_SECONDS = 3600.0;

} // namespace

auto token_bucket::setLimit(double rate, double burst, base::time_point now) -> void
{
    // A process that was paused learns late that the rate was lowered. The time since the last
    // refill must then count at the lower rate.
    m_rate = std::min(m_rate, rate);
    refill(now);
    m_rate = rate;
    m_burst = burst;
    clampLevel();
}

auto token_bucket::refill(base::time_point now) -> void
{
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        if (now < grant->expiresAt) {
            ++grant;
            continue;
        }
        addAccrued(grant->expiresAt);
        m_outstandingTokens -= grant->tokens;
        grant = m_grants.erase(grant);
    }
    addAccrued(now);
}

auto token_bucket::addAccrued(base::time_point now) -> void
{
    if (now > m_refilledAt) {
        m_level += m_rate * base::toSeconds(now - m_refilledAt);
        m_refilledAt = now;
    }
    clampLevel();
}

auto token_bucket::clampLevel() -> void
{
    m_level = std::clamp(m_level, 0.0,
                         std::max(0.0, m_burst - static_cast<double>(m_outstandingTokens)));
}

auto token_bucket::isFull() const -> bool
{
    return m_outstandingTokens == 0 && m_level + LEVEL_EPSILON >= m_burst;
}

auto token_bucket::issue(grant newGrant) -> void
{
    m_level -= newGrant.tokens;
    m_outstandingTokens += newGrant.tokens;
    m_grants.push_back(std::move(newGrant));
}

auto token_bucket::findGrant(const base::node_id &entryNode, std::int64_t sequence) const
        -> const grant *
{
    const auto found = std::find_if(m_grants.begin(), m_grants.end(), [&](const grant &each) {
        return each.sequence == sequence && each.entryNode == entryNode;
    });
    return found == m_grants.end() ? nullptr : &*found;
}

auto token_bucket::closeGrant(const base::node_id &entryNode, std::int64_t sequence,
                              std::int32_t unusedTokens) -> std::int32_t
{
    const auto *granted = findGrant(entryNode, sequence);
    if (granted == nullptr) {
        return 0;
    }
    const auto returnedTokens = std::clamp(unusedTokens, 0, granted->tokens);
    m_outstandingTokens -= granted->tokens;
    m_level += returnedTokens;
    m_grants.erase(m_grants.begin() + (granted - m_grants.data()));
    clampLevel();
    return returnedTokens;
}

auto token_bucket::withdraw(double tokens) -> double
{
    const auto withdrawn = std::clamp(tokens, 0.0, m_level);
    m_level -= withdrawn;
    return withdrawn;
}

auto token_bucket::deposit(double tokens) -> void
{
    m_level += std::max(0.0, tokens);
    clampLevel();
}

auto token_bucket::timeUntilToken() const -> base::duration
{
    if (m_level >= 1.0) {
        return base::duration{0};
    }
    const auto seconds = m_rate > 0.0 ? (1.0 - m_level) / m_rate : MAX_WAIT_SECONDS;
    return base::fromSeconds(std::min(seconds, MAX_WAIT_SECONDS));
}

} // namespace hawthornpick::limits
