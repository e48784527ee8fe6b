#include "limits/regionshare.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace hawthornpick::limits {

namespace {

template <typename Loans>
auto sumOf(const Loans &loans) -> std::int64_t
{
    return std::accumulate(loans.begin(), loans.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto &loan) { return sum + loan.parts; });
}

template <typename Loans>
auto findNonce(Loans &loans, std::int64_t nonce)
{
    return std::find_if(loans.begin(), loans.end(),
                        [nonce](const auto &loan) { return loan.nonce == nonce; });
}

} // namespace

auto region_share::parts() const -> std::int64_t
{
    return std::max<std::int64_t>(0, m_own - sumOf(m_lent)) + sumOf(m_borrowed);
}

auto region_share::lendable() const -> std::int64_t
{
    return std::max<std::int64_t>(0, m_own - sumOf(m_lent));
}

auto region_share::lend(lent_loan loan) -> void
{
    m_lent.push_back(std::move(loan));
}

auto region_share::extend(std::int64_t nonce, base::time_point until) -> bool
{
    const auto found = findNonce(m_lent, nonce);
    if (found == m_lent.end()) {
        return false;
    }
    found->until = std::max(found->until, until);
    found->confirmed = true;
    return true;
}

auto region_share::reclaim(std::int64_t nonce, std::int64_t remaining) -> std::int64_t
{
    const auto found = findNonce(m_lent, nonce);
    if (found == m_lent.end() || remaining >= found->parts) {
        return 0;
    }
    const auto back = found->parts - std::max<std::int64_t>(0, remaining);
    found->parts -= back;
    if (found->parts == 0) {
        m_lent.erase(found);
    }
    return back;
}

auto region_share::expireLent(base::time_point now) -> void
{
    std::erase_if(m_lent, [now](const lent_loan &loan) { return now >= loan.until; });
}

auto region_share::reclaimBefore(const base::region_id &region, std::uint64_t epoch) -> void
{
    std::erase_if(m_lent, [&region, epoch](const lent_loan &loan) {
        return loan.to == region && loan.borrowerEpoch < epoch;
    });
}

auto region_share::borrow(borrowed_loan loan) -> void
{
    m_borrowed.push_back(std::move(loan));
}

auto region_share::findBorrowed(std::int64_t nonce) -> borrowed_loan *
{
    const auto found = findNonce(m_borrowed, nonce);
    return found == m_borrowed.end() ? nullptr : &*found;
}

auto region_share::reduce(std::int64_t nonce, std::int64_t remaining) -> void
{
    const auto found = findNonce(m_borrowed, nonce);
    if (found == m_borrowed.end()) {
        return;
    }
    found->parts = std::min(found->parts, remaining);
    if (found->parts <= 0) {
        m_borrowed.erase(found);
    }
}

auto region_share::firstEnd() const -> std::optional<base::time_point>
{
    const auto first = std::min_element(
            m_borrowed.begin(), m_borrowed.end(),
            [](const auto &left, const auto &right) { return left.until < right.until; });
    return first == m_borrowed.end() ? std::nullopt : std::optional(first->until);
}

auto region_share::dropEnded(base::time_point now) -> void
{
    std::erase_if(m_borrowed, [now](const borrowed_loan &loan) { return now >= loan.until; });
}

} // namespace hawthornpick::limits
