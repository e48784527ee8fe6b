#include "policy/retrybudget.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

constexpr base::duration INITIAL_MAX_DELAY = std::chrono::milliseconds(5);
constexpr base::duration MAX_DELAY = std::chrono::milliseconds(100);
constexpr std::uint32_t MAX_DOUBLINGS = 8;

} // namespace

retry_budget::retry_budget(std::uint32_t retryPercent) : m_retryPercent(retryPercent)
{
    for (auto &balance : m_balances) {
        balance.store(MAX_BALANCE);
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
        next = std::min<std::int64_t>(balance + m_retryPercent.load(), MAX_BALANCE);
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
    const auto doublings = std::min(std::max(retry, 1U) - 1, MAX_DOUBLINGS);
    const auto maxDelay = std::min(INITIAL_MAX_DELAY * (1U << doublings), MAX_DELAY);
    return base::duration(static_cast<base::duration::rep>(
            random.unit() * static_cast<double>(maxDelay.count())));
}

} // namespace hawthornpick::policy
