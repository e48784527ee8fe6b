#include "limits/internal/allocatorstate.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornpick::limits {

namespace {

// Age at which a loan request has expired and its answer is ignored.
constexpr base::duration LOAN_REQUEST_LIFETIME = std::chrono::milliseconds(500);
constexpr base::duration LOAN_REQUEST_INTERVAL = std::chrono::milliseconds(200);
// Demand counts against lending a share only if a token request was received within this time.
constexpr base::duration RECENT_USE_TIME = std::chrono::seconds(5);
// A region keeps this multiple of its measured demand for itself.
constexpr double DEMAND_HEADROOM_FACTOR = 1.3;
// A share whose burst is smaller is not divided by demand, but moves as a whole to the region with
// waiting requests. Results with 1, 2 and 6 are in docs/measurements/limits.txt.
constexpr double MIN_DIVISIBLE_BURST = 6.0;

auto toParts(double fraction) -> std::int64_t
{
    return static_cast<std::int64_t>(std::ceil(std::clamp(fraction, 0.0, 1.0) * PARTS_PER_LIMIT));
}

auto makeLoan(const base::organisation_id &id, std::int64_t nonce) -> wire::loan
{
    wire::loan loan;
    loan.organisation = id.str();
    loan.nonce = nonce;
    return loan;
}

auto isRecentlyUsed(const organisation_state &state, base::time_point now) -> bool
{
    return now - state.lastUsedAt < RECENT_USE_TIME;
}

auto isBurstIndivisible(const organisation_state &state, const config::organisation &limit) -> bool
{
    const auto shareFraction = static_cast<double>(state.share.usableParts()) / PARTS_PER_LIMIT;
    return limit.burst * shareFraction < MIN_DIVISIBLE_BURST;
}

} // namespace

auto allocator_state::handleRegionMessage(const base::node_id &from,
                                          const wire::region_message &message, base::time_point now)
        -> void
{
    const base::region_id region(message.region);
    const auto shardNumber = static_cast<shard_number>(message.shard);
    if (shardNumber >= SHARD_COUNT || region == m_dependencies.region) {
        return;
    }
    auto *shard = findHeldShard(shardNumber, now);
    if (message.not_holder) {
        if (shard != nullptr) {
            skipCandidate(*shard, region);
        }
        return;
    }
    if (shard == nullptr) {
        auto reply = messageHeader(shardNumber, shard_state{});
        reply.__set_not_holder(true);
        m_batch.add(from, reply);
        return;
    }
    recordAllocator(shardNumber, *shard, region, from);
    if (message.query && now >= shard->earlierGrantsExpireAt) {
        handleQuery(from, message, *shard, now);
    }
    if (message.__isset.holdings) {
        handleHoldings(message, *shard, now);
    }
    if (shard->isOpen) {
        handleLoanMessages(from, message, *shard, now);
    }
}

auto allocator_state::recordAllocator(shard_number shardNumber, shard_state &shard,
                                      const base::region_id &region, const base::node_id &from)
        -> void
{
    const auto &candidates = m_directory.candidates(region, shardNumber);
    const auto found = std::find(candidates.begin(), candidates.end(), from);
    if (found != candidates.end()) {
        shard.candidateIndex[region] = static_cast<std::size_t>(found - candidates.begin());
    }
}

auto allocator_state::skipCandidate(shard_state &shard, const base::region_id &region) -> void
{
    ++shard.candidateIndex[region];
    // Loan requests that reached the wrong node are sent again at once.
    for (auto &[id, state] : shard.organisations) {
        const auto removedCount =
                std::erase_if(state.loanRequests, [&region](const loan_request &request) {
                    return request.lender == region;
                });
        if (removedCount != 0) {
            state.lastLoanRequestAt = {};
        }
    }
}

auto allocator_state::handleLoanMessages(const base::node_id &from,
                                         const wire::region_message &message, shard_state &shard,
                                         base::time_point now) -> void
{
    for (const auto &loan : message.requests) {
        handleLoanRequest(from, message, shard, loan, now);
    }
    for (const auto &loan : message.loans) {
        handleLoanAnswer(message, shard, loan, now);
    }
    for (const auto &loan : message.renewals) {
        handleRenewal(from, message, shard, loan, now);
    }
    for (const auto &loan : message.renewed) {
        handleRenewalAnswer(shard, loan);
    }
    for (const auto &loan : message.recalls) {
        handleRecall(from, message, shard, loan, now);
    }
    for (const auto &loan : message.returns) {
        handleReturn(shard, loan, now);
    }
}

auto allocator_state::handleQuery(const base::node_id &from, const wire::region_message &message,
                                  shard_state &shard, base::time_point now) -> void
{
    const base::region_id region(message.region);
    auto reply = messageHeader(static_cast<shard_number>(message.shard), shard);
    reply.__set_answered_epoch(message.epoch);
    reply.__set_holdings({});
    for (auto &[id, state] : shard.organisations) {
        refreshState(id, state, now);
        state.share.reclaimBeforeEpoch(region, static_cast<std::uint64_t>(message.epoch));
        // A loan that an earlier allocator of the other region granted and that is still in transit
        // must not be accepted: it is missing from the list in this reply.
        std::erase_if(state.loanRequests,
                      [&region](const loan_request &request) { return request.lender == region; });
        for (const auto &loan : state.share.borrowed()) {
            if (loan.lender == region) {
                auto heldLoan = makeLoan(id, loan.nonce);
                heldLoan.__set_parts(loan.parts);
                reply.holdings.push_back(std::move(heldLoan));
            }
        }
    }
    m_batch.add(from, reply);
}

auto allocator_state::handleHoldings(const wire::region_message &message, shard_state &shard,
                                     base::time_point now) -> void
{
    const base::region_id region(message.region);
    const bool isForThisEpoch = static_cast<std::uint64_t>(message.answered_epoch) == shard.epoch;
    if (shard.isOpen || !isForThisEpoch || shard.unansweredRegions.erase(region) == 0) {
        return;
    }
    const config::organisation noLimit;
    for (const auto &loan : message.holdings) {
        const base::organisation_id id(loan.organisation);
        findOrCreateState(shard, id, noLimit, now)
                .share.lend({loan.nonce, region, static_cast<std::uint64_t>(message.epoch),
                             loan.parts, now + LOAN_HOLD_TIME, now, true});
    }
    openShard(shard, now);
}

auto allocator_state::handleLoanRequest(const base::node_id &from,
                                        const wire::region_message &message, shard_state &shard,
                                        const wire::loan &loan, base::time_point now) -> void
{
    const base::organisation_id id(loan.organisation);
    const auto *limit = m_configuration->organisationById(id);
    if (limit == nullptr) {
        return;
    }
    const bool hadState = shard.organisations.contains(id);
    auto &state = findOrCreateState(shard, id, *limit, now);
    if (!hadState) {
        // A loan request of another region does not count as use of the share in this region.
        state.lastUsedAt = now - RECENT_USE_TIME;
    }
    refreshState(id, state, now);
    const auto &lent = state.share.lent();
    if (std::any_of(lent.begin(), lent.end(),
                    [&loan](const auto &each) { return each.nonce == loan.nonce; })) {
        return;
    }
    const auto lentParts = std::min(loan.parts, lendableUnusedParts(id, state, *limit, now));
    auto answer = makeLoan(id, loan.nonce);
    answer.__set_parts(std::max<std::int64_t>(0, lentParts));
    if (lentParts > 0) {
        const auto fraction =
                static_cast<double>(lentParts) / static_cast<double>(state.share.usableParts());
        answer.__set_tokens(state.bucket.withdraw(state.bucket.level() * fraction));
        state.share.lend({loan.nonce, base::region_id(message.region),
                          static_cast<std::uint64_t>(message.epoch), lentParts,
                          now + LOAN_HOLD_TIME, now, false});
        applyLimit(state, *limit, now);
    }
    auto reply = messageHeader(static_cast<shard_number>(message.shard), shard);
    reply.__set_loans({answer});
    m_batch.add(from, reply);
}

auto allocator_state::handleLoanAnswer(const wire::region_message &message, shard_state &shard,
                                       const wire::loan &loan, base::time_point now) -> void
{
    const base::organisation_id id(loan.organisation);
    const auto found = shard.organisations.find(id);
    if (found == shard.organisations.end()) {
        return;
    }
    auto &state = found->second;
    const auto request =
            std::find_if(state.loanRequests.begin(), state.loanRequests.end(),
                         [&loan](const loan_request &each) { return each.nonce == loan.nonce; });
    if (request == state.loanRequests.end() || now - request->sentAt >= LOAN_REQUEST_LIFETIME) {
        return;
    }
    const region_share::borrowed_loan borrowedLoan{loan.nonce, request->lender, loan.parts,
                                                   request->sentAt + LOAN_LIFETIME, now};
    state.loanRequests.erase(request);
    if (loan.parts <= 0) {
        return;
    }
    const auto *limit = refreshState(id, state, now);
    state.share.borrow(borrowedLoan);
    if (limit != nullptr) {
        applyLimit(state, *limit, now);
        state.bucket.deposit(loan.tokens);
    }
    const auto shardNumber = static_cast<shard_number>(message.shard);
    sendRenewal(shardNumber, shard, id, *state.share.findBorrowed(loan.nonce), now);
    serveQueuedRequests(shardNumber, shard, id, state, now);
}

auto allocator_state::handleRenewal(const base::node_id &from, const wire::region_message &message,
                                    shard_state &shard, const wire::loan &loan,
                                    base::time_point now) -> void
{
    const auto found = shard.organisations.find(base::organisation_id(loan.organisation));
    if (found == shard.organisations.end()) {
        return;
    }
    refreshState(found->first, found->second, now);
    if (!found->second.share.renewLent(loan.nonce, now + LOAN_HOLD_TIME)) {
        return;
    }
    auto reply = messageHeader(static_cast<shard_number>(message.shard), shard);
    reply.__set_renewed({loan});
    m_batch.add(from, reply);
}

auto allocator_state::handleRenewalAnswer(shard_state &shard, const wire::loan &loan) -> void
{
    const auto found = shard.organisations.find(base::organisation_id(loan.organisation));
    if (found == shard.organisations.end()) {
        return;
    }
    auto *borrowedLoan = found->second.share.findBorrowed(loan.nonce);
    if (borrowedLoan == nullptr) {
        return;
    }
    // The stamp is the time by the clock of this node at which it sent the renewal.
    const base::time_point sentAt{base::duration(loan.stamp)};
    borrowedLoan->expiresAt = std::max(
            borrowedLoan->expiresAt, std::min(sentAt, borrowedLoan->renewalSentAt) + LOAN_LIFETIME);
}

auto allocator_state::handleRecall(const base::node_id &from, const wire::region_message &message,
                                   shard_state &shard, const wire::loan &loan, base::time_point now)
        -> void
{
    const base::organisation_id id(loan.organisation);
    const auto shardNumber = static_cast<shard_number>(message.shard);
    const auto found = shard.organisations.find(id);
    if (found != shard.organisations.end()) {
        auto &state = found->second;
        refreshState(id, state, now);
        std::erase_if(state.loanRequests,
                      [&loan](const loan_request &request) { return request.nonce == loan.nonce; });
        if (auto *borrowedLoan = state.share.findBorrowed(loan.nonce); borrowedLoan != nullptr) {
            if (!returnUnusedParts(shardNumber, shard, id, state, loan.nonce, now)) {
                sendRenewal(shardNumber, shard, id, *borrowedLoan, now);
            }
            return;
        }
    }
    auto endedLoan = makeLoan(id, loan.nonce);
    endedLoan.__set_parts(0);
    auto reply = messageHeader(shardNumber, shard);
    reply.__set_returns({endedLoan});
    m_batch.add(from, reply);
}

auto allocator_state::handleReturn(shard_state &shard, const wire::loan &loan, base::time_point now)
        -> void
{
    const base::organisation_id id(loan.organisation);
    const auto found = shard.organisations.find(id);
    if (found == shard.organisations.end()) {
        return;
    }
    auto &state = found->second;
    const auto *limit = refreshState(id, state, now);
    if (state.share.reclaim(loan.nonce, loan.parts) > 0 && limit != nullptr) {
        applyLimit(state, *limit, now);
        state.bucket.deposit(loan.tokens);
        serveQueuedRequests(shardOf(id), shard, id, state, now);
    }
}

auto allocator_state::requestLoans(shard_number shardNumber, shard_state &shard,
                                   const base::organisation_id &id, organisation_state &state,
                                   base::time_point now) -> bool
{
    const auto *limit = m_configuration->organisationById(id);
    if (m_dependencies.regions.size() < 2 || limit == nullptr) {
        return false;
    }
    if (!state.loanRequests.empty()) {
        return true;
    }
    const auto missingParts = neededParts(state, *limit, now) - state.share.usableParts();
    if (missingParts <= 0 || now - state.lastLoanRequestAt < LOAN_REQUEST_INTERVAL) {
        return false;
    }
    state.lastLoanRequestAt = now;
    const auto otherRegions = static_cast<std::int64_t>(m_dependencies.regions.size()) - 1;
    const auto requestedParts = isBurstIndivisible(state, *limit)
                                        ? missingParts
                                        : (missingParts + otherRegions - 1) / otherRegions;
    for (const auto &region : m_dependencies.regions) {
        if (region == m_dependencies.region) {
            continue;
        }
        const auto nonce = static_cast<std::int64_t>(m_dependencies.random.bits());
        state.loanRequests.push_back({region, nonce, now});
        auto request = makeLoan(id, nonce);
        request.__set_parts(requestedParts);
        auto message = messageHeader(shardNumber, shard);
        message.__set_requests({request});
        sendToRegion(shardNumber, shard, region, message);
    }
    return true;
}

auto allocator_state::lendableUnusedParts(const base::organisation_id &id,
                                          const organisation_state &state,
                                          const config::organisation &limit,
                                          base::time_point now) const -> std::int64_t
{
    return std::min(state.share.lendableParts(), unusedParts(id, state, limit, now));
}

auto allocator_state::unusedParts(const base::organisation_id &id, const organisation_state &state,
                                  const config::organisation &limit, base::time_point now) const
        -> std::int64_t
{
    const auto ownedParts = state.share.usableParts();
    auto reservedParts = isRecentlyUsed(state, now) ? neededParts(state, limit, now) : 0;
    // An indivisible burst goes to the region with waiting requests; if several regions have some,
    // to the home region first.
    if (isBurstIndivisible(state, limit)) {
        reservedParts = !state.queuedRequests.empty() && isHomeRegion(id) ? ownedParts : 0;
    }
    const auto outstandingTokens = static_cast<double>(state.bucket.outstandingTokens());
    const auto grantedParts = limit.burst == 0 ? 0 : toParts(outstandingTokens / limit.burst);
    return ownedParts - std::max(reservedParts, grantedParts);
}

auto allocator_state::neededParts(const organisation_state &state,
                                  const config::organisation &limit, base::time_point now)
        -> std::int64_t
{
    const auto demand = state.demandAt(now);
    const auto rateFraction = limit.rate > 0.0 ? demand * DEMAND_HEADROOM_FACTOR / limit.rate : 1.0;
    const auto burstFraction = limit.burst > 0 ? (1.0 + demand) / limit.burst : 1.0;
    return toParts(std::max(rateFraction, burstFraction));
}

auto allocator_state::isHomeRegion(const base::organisation_id &id) const -> bool
{
    const auto weight = [&id](const base::region_id &region) {
        return base::rendezvousWeight(id.str(), region.str());
    };
    return std::all_of(
            m_dependencies.regions.begin(), m_dependencies.regions.end(),
            [&](const auto &region) { return weight(region) <= weight(m_dependencies.region); });
}

} // namespace hawthornpick::limits
