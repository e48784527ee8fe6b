#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornpick::limits {

//! The whole rate and burst of an organisation, in parts. Divisible by all small region counts.
inline constexpr std::int64_t WHOLE_PARTS = 720720;

//! How long a borrowed share may be used without renewal, from before the request was sent. It
//! outlasts a cut between regions of some minutes, so that a share stays where the demand is.
inline constexpr base::duration LOAN_LIFE = std::chrono::minutes(5);

//! How long the lender counts a share as lent: `LOAN_LIFE` by the slowest clock.
inline constexpr base::duration LOAN_HOLD = std::chrono::seconds(316);

//! Share of one region in the rate and burst of one organisation: a fixed part, less what is lent,
//! plus what is borrowed. The sum over all regions is at most the whole at any moment, because a
//! lender subtracts before the borrower adds, and a borrower stops using a loan before the lender
//! counts it as returned. Not thread-safe.
class region_share
{
public:
    struct lent_loan
    {
        std::int64_t nonce = 0;
        base::region_id to;
        std::uint64_t borrowerEpoch = 0;
        std::int64_t parts = 0;
        base::time_point until;
        base::time_point since;
        //! True once the borrower has said that it uses the loan.
        bool confirmed = false;
    };
    struct borrowed_loan
    {
        std::int64_t nonce = 0;
        base::region_id from;
        std::int64_t parts = 0;
        base::time_point until;
        base::time_point renewalSent;
    };

    explicit region_share(std::int64_t ownParts) : m_own(ownParts) {}

    //! Parts that this region may use at present.
    [[nodiscard]] auto parts() const -> std::int64_t;
    //! Own parts that are not lent.
    [[nodiscard]] auto lendable() const -> std::int64_t;
    [[nodiscard]] auto lent() const -> const std::vector<lent_loan> & { return m_lent; }
    [[nodiscard]] auto borrowed() const -> const std::vector<borrowed_loan> & { return m_borrowed; }

    //! Precondition: `loan.parts` <= `lendable()`, unless it was lent by an earlier allocator.
    auto lend(lent_loan loan) -> void;
    //! Extends a loan that the borrower uses; false if it is unknown.
    auto extend(std::int64_t nonce, base::time_point until) -> bool;
    //! Takes back what exceeds `remaining` parts of a loan, because the borrower no longer uses
    //! more. Returns the parts that came back.
    auto reclaim(std::int64_t nonce, std::int64_t remaining) -> std::int64_t;
    //! Removes loans that ended.
    auto expireLent(base::time_point now) -> void;
    //! Takes all loans back that earlier allocators of `region` held.
    auto reclaimBefore(const base::region_id &region, std::uint64_t epoch) -> void;

    auto borrow(borrowed_loan loan) -> void;
    auto findBorrowed(std::int64_t nonce) -> borrowed_loan *;
    //! Reduces a borrowed loan; 0 removes it.
    auto reduce(std::int64_t nonce, std::int64_t remaining) -> void;
    //! When the first borrowed loan ends, if there is one.
    [[nodiscard]] auto firstEnd() const -> std::optional<base::time_point>;
    auto dropEnded(base::time_point now) -> void;

private:
    std::int64_t m_own;
    std::vector<lent_loan> m_lent;
    std::vector<borrowed_loan> m_borrowed;
};

} // namespace hawthornpick::limits
