#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornpick::limits {

//! Number of parts into which the rate and burst of an organisation are divided. Divisible by all
//! small region counts.
inline constexpr std::int64_t PARTS_PER_LIMIT = 720720;

//! How long a borrower may use a loan without renewal, counted from before the loan request or the
//! renewal was sent. It outlasts a network partition between regions of some minutes, so that a
//! share stays where the demand is.
inline constexpr base::duration LOAN_LIFETIME = std::chrono::minutes(5);

//! How long the lender counts a share as lent: at least `LOAN_LIFETIME` by the slowest clock.
inline constexpr base::duration LOAN_HOLD_TIME = std::chrono::seconds(316);

//! Share of one region in the rate and burst of one organisation: its own fixed parts, less those
//! lent to other regions, plus those borrowed from them. The shares of all regions never add up to
//! more than the limit, because a lender subtracts parts before the borrower adds them, and a
//! borrower stops using a loan before the lender counts it as returned. Not thread-safe.
class region_share
{
public:
    struct lent_loan
    {
        std::int64_t nonce = 0;
        base::region_id borrower;
        //! Lease epoch of the borrowing allocator.
        std::uint64_t borrowerEpoch = 0;
        std::int64_t parts = 0;
        base::time_point expiresAt;
        base::time_point lentAt;
        //! True once the borrower has renewed the loan or listed it as held.
        bool isConfirmed = false;
    };
    struct borrowed_loan
    {
        std::int64_t nonce = 0;
        base::region_id lender;
        std::int64_t parts = 0;
        base::time_point expiresAt;
        base::time_point renewalSentAt;
    };

    explicit region_share(std::int64_t ownParts) : m_ownParts(ownParts) {}

    //! Returns the parts that this region may use at present.
    [[nodiscard]] auto usableParts() const -> std::int64_t;
    //! Returns the own parts that are not lent.
    [[nodiscard]] auto lendableParts() const -> std::int64_t;
    [[nodiscard]] auto lent() const -> const std::vector<lent_loan> & { return m_lent; }
    [[nodiscard]] auto borrowed() const -> const std::vector<borrowed_loan> & { return m_borrowed; }

    //! Precondition: `loan.parts` <= `lendableParts()`, unless an earlier allocator lent it.
    auto lend(lent_loan loan) -> void;
    //! Confirms a lent loan and extends it to `expiresAt`, unless it already lasts longer. Returns
    //! false if the loan is unknown.
    auto renewLent(std::int64_t nonce, base::time_point expiresAt) -> bool;
    //! Reduces a lent loan to `remainingParts`, because the borrower no longer uses more; 0 ends
    //! it. Returns the number of parts taken back.
    auto reclaim(std::int64_t nonce, std::int64_t remainingParts) -> std::int64_t;
    //! Removes lent loans that have expired.
    auto expireLent(base::time_point now) -> void;
    //! Takes back all loans to allocators of `borrower` whose lease epoch is below `epoch`.
    auto reclaimBeforeEpoch(const base::region_id &borrower, std::uint64_t epoch) -> void;

    auto borrow(borrowed_loan loan) -> void;
    //! Returns null if the loan is unknown. The pointer is valid until borrowed loans are added or
    //! removed.
    auto findBorrowed(std::int64_t nonce) -> borrowed_loan *;
    //! Reduces a borrowed loan to `remainingParts`; 0 removes it.
    auto reduceBorrowed(std::int64_t nonce, std::int64_t remainingParts) -> void;
    //! Returns the earliest expiry of a borrowed loan, if there is one.
    [[nodiscard]] auto firstBorrowedExpiry() const -> std::optional<base::time_point>;
    //! Removes borrowed loans that have expired.
    auto expireBorrowed(base::time_point now) -> void;

private:
    std::int64_t m_ownParts;
    std::vector<lent_loan> m_lent;
    std::vector<borrowed_loan> m_borrowed;
};

} // namespace hawthornpick::limits
