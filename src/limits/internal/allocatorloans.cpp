#include "limits/internal/allocatorstate.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::limits {

namespace {

// Time after which a loan request without an answer is given up.
constexpr base::duration LOAN_REQUEST_LIFETIME = std::chrono::milliseconds(500);
// Interval of loan requests that are sent before the tokens run out.
constexpr base::duration EARLY_LOAN_REQUEST_INTERVAL = std::chrono::seconds(2);
constexpr base::duration RECALL_INTERVAL = std::chrono::milliseconds(200);
// Age at which a loan without confirmation by the borrower is recalled: the message that lent it
// was probably lost.
constexpr base::duration LOAN_CONFIRMATION_TIMEOUT = std::chrono::seconds(1);
constexpr base::duration RENEWAL_INTERVAL = std::chrono::seconds(5);
constexpr base::duration RENEWAL_BEFORE_EXPIRY = LOAN_LIFETIME / 2;
// Loans are renewed only if the organisation was used within this time.
constexpr base::duration IN_USE_TIME = std::chrono::seconds(30);
// Idle time of an organisation after which its loans are returned.
constexpr base::duration IDLE_RETURN_TIME = std::chrono::seconds(60);

auto makeLoan(const base::organisation_id &id, std::int64_t nonce) -> wire::loan
{
    wire::loan loan;
    loan.organisation = id.str();
    loan.nonce = nonce;
    return loan;
}

} // namespace

auto allocator_state::tickLoans(shard_number shardNumber, shard_state &shard,
                                const base::organisation_id &id, organisation_state &state,
                                base::time_point now) -> void
{
    if (m_dependencies.regions.size() < 2) {
        return;
    }
    std::erase_if(state.loanRequests, [&shard, now](const loan_request &request) {
        const bool isExpired = now - request.sentAt >= LOAN_REQUEST_LIFETIME;
        shard.candidateIndex[request.lender] += isExpired ? 1 : 0;
        return isExpired;
    });
    renewLoans(shardNumber, shard, id, state, now);
    const auto *limit = m_configuration->organisationById(id);
    if (limit == nullptr) {
        return;
    }
    recallLoans(shardNumber, shard, id, state, now);
    if (needsMoreParts(state, *limit, now)
        && now - state.lastLoanRequestAt >= EARLY_LOAN_REQUEST_INTERVAL) {
        requestLoans(shardNumber, shard, id, state, now);
    }
}

auto allocator_state::renewLoans(shard_number shardNumber, shard_state &shard,
                                 const base::organisation_id &id, organisation_state &state,
                                 base::time_point now) -> void
{
    auto borrowedLoans = state.share.borrowed();
    for (const auto &copy : borrowedLoans) {
        auto *loan = state.share.findBorrowed(copy.nonce);
        const bool isIdle = now - state.lastUsedAt >= IDLE_RETURN_TIME;
        if (isIdle && now - loan->renewalSentAt >= RENEWAL_INTERVAL) {
            loan->renewalSentAt = now;
            returnUnusedParts(shardNumber, shard, id, state, copy.nonce, now);
        } else if (now - state.lastUsedAt < IN_USE_TIME
                   && loan->expiresAt - now < RENEWAL_BEFORE_EXPIRY
                   && now - loan->renewalSentAt >= RENEWAL_INTERVAL) {
            sendRenewal(shardNumber, shard, id, *loan, now);
        }
    }
}

auto allocator_state::recallLoans(shard_number shardNumber, shard_state &shard,
                                  const base::organisation_id &id, organisation_state &state,
                                  base::time_point now) -> bool
{
    const auto *limit = m_configuration->organisationById(id);
    if (state.share.lent().empty()) {
        return false;
    }
    if (now - state.lastRecallAt < RECALL_INTERVAL) {
        return true;
    }
    const bool needsParts = limit != nullptr && needsMoreParts(state, *limit, now);
    bool hasSent = false;
    for (const auto &loan : state.share.lent()) {
        const bool isOverdue = now - loan.lentAt >= LOAN_CONFIRMATION_TIMEOUT;
        if (needsParts || (isOverdue && !loan.isConfirmed)) {
            auto message = messageHeader(shardNumber, shard);
            message.__set_recalls({makeLoan(id, loan.nonce)});
            sendToRegion(shardNumber, shard, loan.borrower, message);
            hasSent = true;
        }
    }
    state.lastRecallAt = hasSent ? now : state.lastRecallAt;
    return hasSent;
}

auto allocator_state::needsMoreParts(const organisation_state &state,
                                     const config::organisation &limit, base::time_point now) const
        -> bool
{
    return now - state.lastUsedAt < EARLY_LOAN_REQUEST_INTERVAL
           && neededParts(state, limit, now) > state.share.usableParts();
}

auto allocator_state::returnUnusedParts(shard_number shardNumber, shard_state &shard,
                                        const base::organisation_id &id, organisation_state &state,
                                        std::int64_t nonce, base::time_point now) -> bool
{
    const auto *limit = m_configuration->organisationById(id);
    auto *loan = state.share.findBorrowed(nonce);
    const config::organisation noLimit;
    const auto returnableParts =
            limit == nullptr ? loan->parts : unusedParts(id, state, *limit, now);
    const auto returnedParts = std::min(loan->parts, returnableParts);
    if (returnedParts <= 0) {
        return false;
    }
    const auto remainingParts = loan->parts - returnedParts;
    const auto lender = loan->lender;
    const auto fraction =
            static_cast<double>(returnedParts) / static_cast<double>(state.share.usableParts());
    auto returnedLoan = makeLoan(id, nonce);
    returnedLoan.__set_parts(remainingParts);
    returnedLoan.__set_tokens(state.bucket.withdraw(state.bucket.level() * fraction));
    state.share.reduceBorrowed(nonce, remainingParts);
    applyLimit(state, limit == nullptr ? noLimit : *limit, now);
    auto message = messageHeader(shardNumber, shard);
    message.__set_returns({returnedLoan});
    sendToRegion(shardNumber, shard, lender, message);
    return true;
}

auto allocator_state::sendRenewal(shard_number shardNumber, shard_state &shard,
                                  const base::organisation_id &id,
                                  region_share::borrowed_loan &loan, base::time_point now) -> void
{
    loan.renewalSentAt = now;
    auto renewal = makeLoan(id, loan.nonce);
    renewal.__set_stamp(now.time_since_epoch().count());
    auto message = messageHeader(shardNumber, shard);
    message.__set_renewals({renewal});
    sendToRegion(shardNumber, shard, loan.lender, message);
}

auto allocator_state::messageHeader(shard_number shardNumber, const shard_state &shard) const
        -> wire::region_message
{
    wire::region_message message;
    message.shard = static_cast<std::int32_t>(shardNumber);
    message.region = m_dependencies.region.str();
    message.epoch = static_cast<std::int64_t>(shard.epoch);
    return message;
}

auto allocator_state::sendToRegion(shard_number shardNumber, shard_state &shard,
                                   const base::region_id &region,
                                   const wire::region_message &message) -> void
{
    const auto &candidates = m_directory.candidates(region, shardNumber);
    if (!candidates.empty()) {
        m_batch.add(candidates[shard.candidateIndex[region] % candidates.size()], message);
    }
}

auto allocator_state::sendQueries(shard_number shardNumber, shard_state &shard) -> void
{
    auto message = messageHeader(shardNumber, shard);
    message.__set_query(true);
    for (const auto &region : shard.unansweredRegions) {
        sendToRegion(shardNumber, shard, region, message);
        ++shard.candidateIndex[region];
    }
}

} // namespace hawthornpick::limits
