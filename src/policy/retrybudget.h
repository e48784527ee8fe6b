#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace hawthornpick::policy {

//! Retries that the entry node may still make for one service. Each first attempt earns a part of a
//! retry, so that retries multiply an overload by a bounded factor. Organisations are budgeted
//! apart (by hash), so that one that is refused often does not use up the retries of the others.
//!
//! Thread safety: any thread, lock-free.
class retry_budget
{
public:
    //! `retryPercent` retries are earned by 100 first attempts.
    explicit retry_budget(std::uint32_t retryPercent);

    //! Counts a first attempt.
    auto onFirstAttempt(const base::organisation_id &organisation) -> void;

    //! Takes one retry from the budget; false if there is none left.
    auto tryRetry(const base::organisation_id &organisation) -> bool;

    //! Changes the share of retries for later first attempts.
    auto setRetryPercent(std::uint32_t percent) -> void { m_retryPercent.store(percent); }

private:
    //! The budget counts in hundredths of a retry. Ten retries are available without earlier
    //! traffic, so that a service with few requests can use them, and no more are saved up.
    static constexpr std::int64_t RETRY_COST = 100;
    static constexpr std::int64_t LARGEST_BALANCE = 10 * RETRY_COST;

    auto balanceOf(const base::organisation_id &organisation) -> std::atomic<std::int64_t> &;

    std::atomic<std::uint32_t> m_retryPercent;
    std::array<std::atomic<std::int64_t>, 64> m_balances;
};

//! Returns how long to wait before retry number `retry` (1 for the first): a random time up to
//! 5 ms, doubled for each further retry, at most 100 ms.
//! Thread safety: as `random`.
auto retryDelay(std::uint32_t retry, base::random_source &random) -> base::duration;

} // namespace hawthornpick::policy
