#include "limits/regionshare.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace hawthornpick::limits {

namespace {

template <typename Loans>
auto sumParts(const Loans &loans) -> std::int64_t
{
    return std::accumulate(loans.begin(), loans.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto &loan) { return sum + loan.parts; });
}

template <typename Loans>
auto findByNonce(Loans &loans, std::int64_t nonce)
{
    return std::find_if(loans.begin(), loans.end(),
                        [nonce](const auto &loan) { return loan.nonce == nonce; });
}

} // namespace

auto region_share::usableParts() const -> std::int64_t
{
    return std::max<std::int64_t>(0, m_ownParts - sumParts(m_lent)) + sumParts(m_borrowed);
}

auto region_share::lendableParts() const -> std::int64_t
{
    return std::max<std::int64_t>(0, m_ownParts - sumParts(m_lent));
}

auto region_share::lend(lent_loan loan) -> void
{
    m_lent.push_back(std::move(loan));
}

auto region_share::renewLent(std::int64_t nonce, base::time_point expiresAt) -> bool
{
    const auto found = findByNonce(m_lent, nonce);
    if (found == m_lent.end()) {
        return false;
    }
    found->expiresAt = std::max(found->expiresAt, expiresAt);
    found->isConfirmed = true;
    return true;
}

auto region_share::reclaim(std::int64_t nonce, std::int64_t remainingParts) -> std::int64_t
{
    const auto found = findByNonce(m_lent, nonce);
    if (found == m_lent.end() || remainingParts >= found->parts) {
        return 0;
    }
    const auto returnedParts = found->parts - std::max<std::int64_t>(0, remainingParts);
    found->parts -= returnedParts;
    if (found->parts == 0) {
        m_lent.erase(found);
    }
    return returnedParts;
}

auto region_share::expireLent(base::time_point now) -> void
{
    std::erase_if(m_lent, [now](const lent_loan &loan) { return now >= loan.expiresAt; });
}

auto region_share::reclaimBeforeEpoch(const base::region_id &borrower, std::uint64_t epoch) -> void
{
    std::erase_if(m_lent, [&borrower, epoch](const lent_loan &loan) {
        return loan.borrower == borrower && loan.borrowerEpoch < epoch;
    });
}

auto region_share::borrow(borrowed_loan loan) -> void
{
    m_borrowed.push_back(std::move(loan));
}

auto region_share::findBorrowed(std::int64_t nonce) -> borrowed_loan *
{
    const auto found = findByNonce(m_borrowed, nonce);
    return found == m_borrowed.end() ? nullptr : &*found;
}

auto region_share::reduceBorrowed(std::int64_t nonce, std::int64_t remainingParts) -> void
{
    const auto found = findByNonce(m_borrowed, nonce);
    if (found == m_borrowed.end()) {
        return;
    }
    found->parts = std::min(found->parts, remainingParts);
    if (found->parts <= 0) {
        m_borrowed.erase(found);
    }
}

auto region_share::firstBorrowedExpiry() const -> std::optional<base::time_point>
{
    const auto earliest = std::min_element(
            m_borrowed.begin(), m_borrowed.end(),
            [](const auto &left, const auto &right) { return left.expiresAt < right.expiresAt; });
    return earliest == m_borrowed.end() ? std::nullopt : std::optional(earliest->expiresAt);
}

auto region_share::expireBorrowed(base::time_point now) -> void
{
    std::erase_if(m_borrowed, [now](const borrowed_loan &loan) { return now >= loan.expiresAt; });
}

} // namespace hawthornpick::limits
