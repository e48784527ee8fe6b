#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornpick::limits {

//! Bucket of one organisation in one region. Tokens on grant count against the burst:
//! level + outstanding <= burst at any moment, so that in every window of t seconds at most
//! rate * t + burst tokens are used, however late each is used within its grant.
class token_bucket
{
public:
    struct grant
    {
        base::node_id entry;
        std::int64_t sequence = 0;
        std::int32_t tokens = 0;
        base::time_point until;
        bool report = false;
    };

    token_bucket(double level, double rate, double burst, base::time_point now)
        : m_level(level), m_rate(rate), m_burst(burst), m_filledAt(now)
    {}

    //! Sets rate (tokens per second) and burst after refilling with the lower of both rates.
    auto setTerms(double rate, double burst, base::time_point now) -> void;

    //! Adds what has accrued and forgets grants that ended.
    auto refill(base::time_point now) -> void;

    [[nodiscard]] auto level() const -> double { return m_level; }
    [[nodiscard]] auto outstanding() const -> std::int64_t { return m_outstanding; }
    [[nodiscard]] auto rate() const -> double { return m_rate; }
    [[nodiscard]] auto burst() const -> double { return m_burst; }
    [[nodiscard]] auto full() const -> bool;

    //! Precondition: `item.tokens` <= `level()`.
    auto issue(grant item) -> void;
    [[nodiscard]] auto find(const base::node_id &entry, std::int64_t sequence) const
            -> const grant *;
    //! Ends a grant; `unused` tokens return to the bucket. Returns the tokens that came back.
    auto close(const base::node_id &entry, std::int64_t sequence, std::int32_t unused)
            -> std::int32_t;

    //! Removes up to `tokens` from the level and returns how many were removed.
    auto withdraw(double tokens) -> double;
    //! Adds tokens that another region withdrew.
    auto deposit(double tokens) -> void;

    //! Time until `level()` is at least 1, if grants under way don't prevent it.
    [[nodiscard]] auto timeToToken() const -> base::duration;

private:
    auto accrue(base::time_point now) -> void;
    auto clampLevel() -> void;

    double m_level;
    double m_rate;
    double m_burst;
    base::time_point m_filledAt;
    std::int64_t m_outstanding = 0;
    std::vector<grant> m_grants;
};

} // namespace hawthornpick::limits
