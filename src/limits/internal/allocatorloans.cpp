#include "limits/internal/allocatorstate.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::limits {

namespace {

constexpr base::duration REQUEST_LIFE = std::chrono::milliseconds(500);
// Interval of requests that are made before the tokens run out.
constexpr base::duration EARLY_REQUEST_INTERVAL = std::chrono::seconds(2);
constexpr base::duration RECALL_INTERVAL = std::chrono::milliseconds(200);
// A loan that the borrower has not confirmed by then was probably lost.
constexpr base::duration CONFIRM_TIME = std::chrono::seconds(1);
constexpr base::duration RENEWAL_INTERVAL = std::chrono::seconds(5);
constexpr base::duration RENEWAL_BEFORE_END = LOAN_LIFE / 2;
constexpr base::duration IN_USE_TIME = std::chrono::seconds(30);
constexpr base::duration RETURN_AFTER = std::chrono::seconds(60);

auto loanOf(const base::organisation_id &id, std::int64_t nonce) -> wire::loan
{
    wire::loan loan;
    loan.organisation = id.str();
    loan.nonce = nonce;
    return loan;
}

} // namespace

auto allocator_state::tickShares(shard_number number, shard_state &shard,
                                 const base::organisation_id &id, organisation_state &item,
                                 base::time_point now) -> void
{
    if (m_deps.regions.size() < 2) {
        return;
    }
    std::erase_if(item.requests, [&shard, now](const loan_request &request) {
        const bool expired = now - request.sent >= REQUEST_LIFE;
        shard.candidate[request.from] += expired ? 1 : 0;
        return expired;
    });
    renewLoans(number, shard, id, item, now);
    const auto *terms = m_configuration->organisationById(id);
    if (terms == nullptr) {
        return;
    }
    recallLoans(number, shard, id, item, now);
    if (isStarved(item, *terms, now) && now - item.lastRequest >= EARLY_REQUEST_INTERVAL) {
        seekShare(number, shard, id, item, now);
    }
}

auto allocator_state::renewLoans(shard_number number, shard_state &shard,
                                 const base::organisation_id &id, organisation_state &item,
                                 base::time_point now) -> void
{
    auto loans = item.share.borrowed();
    for (const auto &copy : loans) {
        auto *loan = item.share.findBorrowed(copy.nonce);
        const bool unused = now - item.lastUse >= RETURN_AFTER;
        if (unused && now - loan->renewalSent >= RENEWAL_INTERVAL) {
            loan->renewalSent = now;
            tryReturn(number, shard, id, item, copy.nonce, now);
        } else if (now - item.lastUse < IN_USE_TIME && loan->until - now < RENEWAL_BEFORE_END
                   && now - loan->renewalSent >= RENEWAL_INTERVAL) {
            sendRenewal(number, shard, id, *loan, now);
        }
    }
}

auto allocator_state::recallLoans(shard_number number, shard_state &shard,
                                  const base::organisation_id &id, organisation_state &item,
                                  base::time_point now) -> bool
{
    const auto *terms = m_configuration->organisationById(id);
    if (item.share.lent().empty()) {
        return false;
    }
    if (now - item.lastRecall < RECALL_INTERVAL) {
        return true;
    }
    const bool starved = terms != nullptr && isStarved(item, *terms, now);
    bool sent = false;
    for (const auto &loan : item.share.lent()) {
        const bool old = now - loan.since >= CONFIRM_TIME;
        if (starved || (old && !loan.confirmed)) {
            auto out = header(number, shard);
            out.__set_recalls({loanOf(id, loan.nonce)});
            sendToRegion(number, shard, loan.to, out);
            sent = true;
        }
    }
    item.lastRecall = sent ? now : item.lastRecall;
    return sent;
}

auto allocator_state::isStarved(const organisation_state &item, const config::organisation &terms,
                                base::time_point now) const -> bool
{
    return now - item.lastUse < EARLY_REQUEST_INTERVAL
           && neededParts(item, terms, now) > item.share.parts();
}

auto allocator_state::tryReturn(shard_number number, shard_state &shard,
                                const base::organisation_id &id, organisation_state &item,
                                std::int64_t nonce, base::time_point now) -> bool
{
    const auto *terms = m_configuration->organisationById(id);
    auto *loan = item.share.findBorrowed(nonce);
    const config::organisation none;
    const auto surplus = terms == nullptr ? loan->parts : unusedParts(id, item, *terms, now);
    const auto parts = std::min(loan->parts, surplus);
    if (parts <= 0) {
        return false;
    }
    const auto remaining = loan->parts - parts;
    const auto region = loan->from;
    const auto portion = static_cast<double>(parts) / static_cast<double>(item.share.parts());
    auto back = loanOf(id, nonce);
    back.__set_parts(remaining);
    back.__set_tokens(item.bucket.withdraw(item.bucket.level() * portion));
    item.share.reduce(nonce, remaining);
    setTerms(item, terms == nullptr ? none : *terms, now);
    auto out = header(number, shard);
    out.__set_returns({back});
    sendToRegion(number, shard, region, out);
    return true;
}

auto allocator_state::sendRenewal(shard_number number, shard_state &shard,
                                  const base::organisation_id &id,
                                  region_share::borrowed_loan &loan, base::time_point now) -> void
{
    loan.renewalSent = now;
    auto renewal = loanOf(id, loan.nonce);
    renewal.__set_stamp(now.time_since_epoch().count());
    auto out = header(number, shard);
    out.__set_renewals({renewal});
    sendToRegion(number, shard, loan.from, out);
}

auto allocator_state::header(shard_number number, const shard_state &shard) const
        -> wire::region_message
{
    wire::region_message message;
    message.shard = static_cast<std::int32_t>(number);
    message.region = m_deps.region.str();
    message.epoch = static_cast<std::int64_t>(shard.epoch);
    return message;
}

auto allocator_state::sendToRegion(shard_number number, shard_state &shard,
                                   const base::region_id &region,
                                   const wire::region_message &message) -> void
{
    const auto &candidates = m_directory.candidates(region, number);
    if (!candidates.empty()) {
        m_batch.add(candidates[shard.candidate[region] % candidates.size()], message);
    }
}

auto allocator_state::sendQueries(shard_number number, shard_state &shard) -> void
{
    auto message = header(number, shard);
    message.__set_query(true);
    for (const auto &region : shard.unanswered) {
        sendToRegion(number, shard, region, message);
        ++shard.candidate[region];
    }
}

} // namespace hawthornpick::limits
