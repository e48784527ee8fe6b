#include "policy/retrybudget.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

constexpr base::duration FIRST_DELAY_LIMIT = std::chrono::milliseconds(5);
constexpr base::duration DELAY_LIMIT = std::chrono::milliseconds(100);
constexpr std::uint32_t LARGEST_SHIFT = 8;

} // namespace

auto retry_budget::onFirstAttempt() -> void
{
    auto balance = m_balance.load();
    std::int64_t next = 0;
    do {
        next = std::min<std::int64_t>(balance + m_retryPercent.load(), LARGEST_BALANCE);
    } while (!m_balance.compare_exchange_weak(balance, next));
}

auto retry_budget::tryRetry() -> bool
{
    auto balance = m_balance.load();
    do {
        if (balance < RETRY_COST) {
            return false;
        }
    } while (!m_balance.compare_exchange_weak(balance, balance - RETRY_COST));
    return true;
}

auto retryDelay(std::uint32_t retry, base::random_source &random) -> base::duration
{
    const auto shift = std::min(std::max(retry, 1U) - 1, LARGEST_SHIFT);
    const auto limit = std::min(FIRST_DELAY_LIMIT * (1U << shift), DELAY_LIMIT);
    return base::duration(
            static_cast<base::duration::rep>(random.unit() * static_cast<double>(limit.count())));
}

} // namespace hawthornpick::policy
