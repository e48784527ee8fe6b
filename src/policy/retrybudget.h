#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace hawthornpick::policy {

//! Limits the retries that the entry node makes for one service. Each first attempt adds a fraction
//! of a retry to the budget, so that retries multiply an overload by a bounded factor only.
//! Organisations have separate budgets (by hash), so that one that is refused often does not use up
//! the retries of the others.
//!
//! Thread safety: any thread, lock-free.
class retry_budget
{
public:
    //! `retryPercent` retries are allowed for 100 first attempts.
    explicit retry_budget(std::uint32_t retryPercent);

    //! Counts a first attempt.
    auto onFirstAttempt(const base::organisation_id &organisation) -> void;

    //! Takes one retry from the budget; returns false if none is left.
    auto tryRetry(const base::organisation_id &organisation) -> bool;

    //! Changes the percentage of retries for later first attempts.
    auto setRetryPercent(std::uint32_t retryPercent) -> void { m_retryPercent.store(retryPercent); }

private:
    //! The budget is counted in hundredths of a retry. Its maximum and initial value is ten
    //! retries, so that a service with few requests can retry.
    static constexpr std::int64_t RETRY_COST = 100;
    static constexpr std::int64_t MAX_BALANCE = 10 * RETRY_COST;

    auto balanceOf(const base::organisation_id &organisation) -> std::atomic<std::int64_t> &;

    std::atomic<std::uint32_t> m_retryPercent;
    std::array<std::atomic<std::int64_t>, 64> m_balances;
};

//! Returns the delay before retry number `retry` (1 for the first). The delay is random, up to a
//! limit of 5 ms that doubles with each further retry up to 100 ms.
//! Thread safety: as `random`.
auto retryDelay(std::uint32_t retry, base::random_source &random) -> base::duration;

} // namespace hawthornpick::policy
