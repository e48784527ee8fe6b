#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornpick::limits {

//! Token bucket of one organisation in one region. Granted tokens count against the burst:
//! level + outstanding <= burst at any time. Therefore at most rate * t + burst tokens are used in
//! every window of t seconds, however late each token is used within the lifetime of its grant.
class token_bucket
{
public:
    struct grant
    {
        base::node_id entryNode;
        std::int64_t sequence = 0;
        std::int32_t tokens = 0;
        base::time_point expiresAt;
        //! True if the entry node must report at once that all tokens are used.
        bool reportUse = false;
    };

    token_bucket(double level, double rate, double burst, base::time_point now)
        : m_level(level), m_rate(rate), m_burst(burst), m_refilledAt(now)
    {}

    //! Sets rate (tokens per second) and burst (tokens). Refills first, with the lower of the old
    //! and the new rate.
    auto setLimit(double rate, double burst, base::time_point now) -> void;

    //! Adds the tokens accrued since the last refill and removes expired grants.
    auto refill(base::time_point now) -> void;

    //! Returns the tokens available for grants.
    [[nodiscard]] auto level() const -> double { return m_level; }
    //! Returns the tokens of all grants that have not ended.
    [[nodiscard]] auto outstandingTokens() const -> std::int64_t { return m_outstandingTokens; }
    [[nodiscard]] auto rate() const -> double { return m_rate; }
    [[nodiscard]] auto burst() const -> double { return m_burst; }
    [[nodiscard]] auto isFull() const -> bool;

    //! Precondition: `newGrant.tokens` <= `level()`.
    auto issue(grant newGrant) -> void;
    [[nodiscard]] auto findGrant(const base::node_id &entryNode, std::int64_t sequence) const
            -> const grant *;
    //! Ends a grant and returns `unusedTokens` tokens to the bucket, at most as many as were
    //! granted. Returns the number of tokens returned; 0 if the grant is unknown or has expired.
    auto closeGrant(const base::node_id &entryNode, std::int64_t sequence,
                    std::int32_t unusedTokens) -> std::int32_t;

    //! Removes up to `tokens` from the level and returns how many were removed.
    auto withdraw(double tokens) -> double;
    //! Adds tokens that another region has withdrawn from its bucket.
    auto deposit(double tokens) -> void;

    //! Returns the time until `level()` reaches 1, assuming that outstanding grants leave room for
    //! it. At most one hour.
    [[nodiscard]] auto timeUntilToken() const -> base::duration;

private:
    auto addAccrued(base::time_point now) -> void;
    auto clampLevel() -> void;

    double m_level;
    double m_rate;
    double m_burst;
    base::time_point m_refilledAt;
    std::int64_t m_outstandingTokens = 0;
    std::vector<grant> m_grants;
};

} // namespace hawthornpick::limits
