#include "policy/retrybudget.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

constexpr base::duration FIRST_DELAY_LIMIT = std::chrono::milliseconds(5);
constexpr base::duration DELAY_LIMIT = std::chrono::milliseconds(100);
constexpr std::uint32_t LARGEST_SHIFT = 8;

} // namespace

retry_budget::retry_budget(std::uint32_t retryPercent) : m_retryPercent(retryPercent)
{
    for (auto &balance : m_balances) {
        balance.store(LARGEST_BALANCE);
    }
}

auto retry_budget::balanceOf(const base::organisation_id &organisation)
        -> std::atomic<std::int64_t> &
{
    return m_balances.at(std::hash<base::organisation_id>{}(organisation) % m_balances.size());
}

auto retry_budget::onFirstAttempt(const base::organisation_id &organisation) -> void
{
    auto &stored = balanceOf(organisation);
    auto balance = stored.load();
    std::int64_t next = 0;
    do {
        next = std::min<std::int64_t>(balance + m_retryPercent.load(), LARGEST_BALANCE);
    } while (!stored.compare_exchange_weak(balance, next));
}

auto retry_budget::tryRetry(const base::organisation_id &organisation) -> bool
{
    auto &stored = balanceOf(organisation);
    auto balance = stored.load();
    do {
        if (balance < RETRY_COST) {
            return false;
        }
    } while (!stored.compare_exchange_weak(balance, balance - RETRY_COST));
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
