#include "limits/internal/allocatorstate.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornpick::limits {

namespace {

constexpr base::duration REQUEST_LIFE = std::chrono::milliseconds(500);
constexpr base::duration REQUEST_INTERVAL = std::chrono::milliseconds(200);
// Demand without an ask for this long no longer holds a share back.
constexpr base::duration RECENT_TIME = std::chrono::seconds(5);
// Head room over the measured demand that a region keeps for itself.
constexpr double HEAD_ROOM = 1.3;
// Below this burst a share is not divided by demand; it goes whole to the region with requests
// waiting. Measured with 1, 2 and 6: docs/measurements/limits.txt.
constexpr double DIVISIBLE_BURST = 6.0;

auto toParts(double part) -> std::int64_t
{
    return static_cast<std::int64_t>(std::ceil(std::clamp(part, 0.0, 1.0) * WHOLE_PARTS));
}

auto loanOf(const base::organisation_id &id, std::int64_t nonce) -> wire::loan
{
    wire::loan loan;
    loan.organisation = id.str();
    loan.nonce = nonce;
    return loan;
}

auto isRecent(const organisation_state &item, base::time_point now) -> bool
{
    return now - item.lastUse < RECENT_TIME;
}

auto smallestBurst(const organisation_state &item, const config::organisation &terms) -> bool
{
    const auto part = static_cast<double>(item.share.parts()) / WHOLE_PARTS;
    return terms.burst * part < DIVISIBLE_BURST;
}

} // namespace

auto allocator_state::handleRegions(const base::node_id &from, const wire::region_message &message,
                                    base::time_point now) -> void
{
    const base::region_id region(message.region);
    const auto number = static_cast<shard_number>(message.shard);
    if (number >= SHARD_COUNT || region == m_deps.region) {
        return;
    }
    auto *shard = heldShard(number, now);
    if (message.not_holder) {
        if (shard != nullptr) {
            forgetAllocator(*shard, region);
        }
        return;
    }
    if (shard == nullptr) {
        auto reply = header(number, shard_state{});
        reply.__set_not_holder(true);
        m_batch.add(from, reply);
        return;
    }
    rememberAllocator(number, *shard, region, from);
    if (message.query && now >= shard->readyAt) {
        handleQuery(from, message, *shard, now);
    }
    if (message.__isset.holdings) {
        handleHoldings(message, *shard, now);
    }
    if (shard->open) {
        handleLoans(from, message, *shard, now);
    }
}

auto allocator_state::rememberAllocator(shard_number number, shard_state &shard,
                                        const base::region_id &region, const base::node_id &from)
        -> void
{
    const auto &candidates = m_directory.candidates(region, number);
    const auto found = std::find(candidates.begin(), candidates.end(), from);
    if (found != candidates.end()) {
        shard.candidate[region] = static_cast<std::size_t>(found - candidates.begin());
    }
}

auto allocator_state::forgetAllocator(shard_state &shard, const base::region_id &region) -> void
{
    ++shard.candidate[region];
    // Requests that reached the wrong node are made again at once.
    for (auto &[id, item] : shard.organisations) {
        const auto count = std::erase_if(item.requests, [&region](const loan_request &request) {
            return request.from == region;
        });
        if (count != 0) {
            item.lastRequest = {};
        }
    }
}

auto allocator_state::handleLoans(const base::node_id &from, const wire::region_message &message,
                                  shard_state &shard, base::time_point now) -> void
{
    for (const auto &loan : message.requests) {
        handleRequest(from, message, shard, loan, now);
    }
    for (const auto &loan : message.loans) {
        handleLoan(message, shard, loan, now);
    }
    for (const auto &loan : message.renewals) {
        handleRenewal(from, message, shard, loan, now);
    }
    for (const auto &loan : message.renewed) {
        handleRenewed(shard, loan);
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
    auto reply = header(static_cast<shard_number>(message.shard), shard);
    reply.__set_answered_epoch(message.epoch);
    reply.__set_holdings({});
    for (auto &[id, item] : shard.organisations) {
        refresh(id, item, now);
        item.share.reclaimBefore(region, static_cast<std::uint64_t>(message.epoch));
        // A loan that an earlier allocator sent and that is still under way must not be taken.
        std::erase_if(item.requests,
                      [&region](const loan_request &request) { return request.from == region; });
        for (const auto &loan : item.share.borrowed()) {
            if (loan.from == region) {
                auto held = loanOf(id, loan.nonce);
                held.__set_parts(loan.parts);
                reply.holdings.push_back(std::move(held));
            }
        }
    }
    m_batch.add(from, reply);
}

auto allocator_state::handleHoldings(const wire::region_message &message, shard_state &shard,
                                     base::time_point now) -> void
{
    const base::region_id region(message.region);
    const bool expected = static_cast<std::uint64_t>(message.answered_epoch) == shard.epoch;
    if (shard.open || !expected || shard.unanswered.erase(region) == 0) {
        return;
    }
    const config::organisation none;
    for (const auto &loan : message.holdings) {
        const base::organisation_id id(loan.organisation);
        stateOf(shard, id, none, now)
                .share.lend({loan.nonce, region, static_cast<std::uint64_t>(message.epoch),
                             loan.parts, now + LOAN_HOLD, now, true});
    }
    openShard(shard, now);
}

auto allocator_state::handleRequest(const base::node_id &from, const wire::region_message &message,
                                    shard_state &shard, const wire::loan &loan,
                                    base::time_point now) -> void
{
    const base::organisation_id id(loan.organisation);
    const auto *terms = m_configuration->organisationById(id);
    if (terms == nullptr) {
        return;
    }
    const bool known = shard.organisations.contains(id);
    auto &item = stateOf(shard, id, *terms, now);
    if (!known) {
        // The request of the other region is not a use of this one's share.
        item.lastUse = now - RECENT_TIME;
    }
    refresh(id, item, now);
    const auto &lent = item.share.lent();
    if (std::any_of(lent.begin(), lent.end(),
                    [&loan](const auto &each) { return each.nonce == loan.nonce; })) {
        return;
    }
    const auto parts = std::min(loan.parts, surplusParts(id, item, *terms, now));
    auto reply = loanOf(id, loan.nonce);
    reply.__set_parts(std::max<std::int64_t>(0, parts));
    if (parts > 0) {
        const auto portion = static_cast<double>(parts) / static_cast<double>(item.share.parts());
        reply.__set_tokens(item.bucket.withdraw(item.bucket.level() * portion));
        item.share.lend({loan.nonce, base::region_id(message.region),
                         static_cast<std::uint64_t>(message.epoch), parts, now + LOAN_HOLD, now,
                         false});
        setTerms(item, *terms, now);
    }
    auto out = header(static_cast<shard_number>(message.shard), shard);
    out.__set_loans({reply});
    m_batch.add(from, out);
}

auto allocator_state::handleLoan(const wire::region_message &message, shard_state &shard,
                                 const wire::loan &loan, base::time_point now) -> void
{
    const base::organisation_id id(loan.organisation);
    const auto found = shard.organisations.find(id);
    if (found == shard.organisations.end()) {
        return;
    }
    auto &item = found->second;
    const auto request =
            std::find_if(item.requests.begin(), item.requests.end(),
                         [&loan](const loan_request &each) { return each.nonce == loan.nonce; });
    if (request == item.requests.end() || now - request->sent >= REQUEST_LIFE) {
        return;
    }
    const region_share::borrowed_loan taken{loan.nonce, request->from, loan.parts,
                                            request->sent + LOAN_LIFE, now};
    item.requests.erase(request);
    if (loan.parts <= 0) {
        return;
    }
    const auto *terms = refresh(id, item, now);
    item.share.borrow(taken);
    if (terms != nullptr) {
        setTerms(item, *terms, now);
        item.bucket.deposit(loan.tokens);
    }
    const auto number = static_cast<shard_number>(message.shard);
    sendRenewal(number, shard, id, *item.share.findBorrowed(loan.nonce), now);
    serveHeld(number, shard, id, item, now);
}

auto allocator_state::handleRenewal(const base::node_id &from, const wire::region_message &message,
                                    shard_state &shard, const wire::loan &loan,
                                    base::time_point now) -> void
{
    const auto found = shard.organisations.find(base::organisation_id(loan.organisation));
    if (found == shard.organisations.end()) {
        return;
    }
    refresh(found->first, found->second, now);
    if (!found->second.share.extend(loan.nonce, now + LOAN_HOLD)) {
        return;
    }
    auto reply = header(static_cast<shard_number>(message.shard), shard);
    reply.__set_renewed({loan});
    m_batch.add(from, reply);
}

auto allocator_state::handleRenewed(shard_state &shard, const wire::loan &loan) -> void
{
    const auto found = shard.organisations.find(base::organisation_id(loan.organisation));
    if (found == shard.organisations.end()) {
        return;
    }
    auto *held = found->second.share.findBorrowed(loan.nonce);
    if (held == nullptr) {
        return;
    }
    // The stamp is the time at which this node sent the renewal, by its own clock.
    const base::time_point sent{base::duration(loan.stamp)};
    held->until = std::max(held->until, std::min(sent, held->renewalSent) + LOAN_LIFE);
}

auto allocator_state::handleRecall(const base::node_id &from, const wire::region_message &message,
                                   shard_state &shard, const wire::loan &loan, base::time_point now)
        -> void
{
    const base::organisation_id id(loan.organisation);
    const auto number = static_cast<shard_number>(message.shard);
    const auto found = shard.organisations.find(id);
    if (found != shard.organisations.end()) {
        auto &item = found->second;
        refresh(id, item, now);
        std::erase_if(item.requests,
                      [&loan](const loan_request &request) { return request.nonce == loan.nonce; });
        if (auto *held = item.share.findBorrowed(loan.nonce); held != nullptr) {
            if (!tryReturn(number, shard, id, item, loan.nonce, now)) {
                sendRenewal(number, shard, id, *held, now);
            }
            return;
        }
    }
    auto gone = loanOf(id, loan.nonce);
    gone.__set_parts(0);
    auto reply = header(number, shard);
    reply.__set_returns({gone});
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
    auto &item = found->second;
    const auto *terms = refresh(id, item, now);
    if (item.share.reclaim(loan.nonce, loan.parts) > 0 && terms != nullptr) {
        setTerms(item, *terms, now);
        item.bucket.deposit(loan.tokens);
        serveHeld(shardOf(id), shard, id, item, now);
    }
}

auto allocator_state::seekShare(shard_number number, shard_state &shard,
                                const base::organisation_id &id, organisation_state &item,
                                base::time_point now) -> bool
{
    const auto *terms = m_configuration->organisationById(id);
    if (m_deps.regions.size() < 2 || terms == nullptr) {
        return false;
    }
    if (!item.requests.empty()) {
        return true;
    }
    const auto want = neededParts(item, *terms, now) - item.share.parts();
    if (want <= 0 || now - item.lastRequest < REQUEST_INTERVAL) {
        return false;
    }
    item.lastRequest = now;
    const auto others = static_cast<std::int64_t>(m_deps.regions.size()) - 1;
    const auto each = smallestBurst(item, *terms) ? want : (want + others - 1) / others;
    for (const auto &region : m_deps.regions) {
        if (region == m_deps.region) {
            continue;
        }
        const auto nonce = static_cast<std::int64_t>(m_deps.random.bits());
        item.requests.push_back({region, nonce, now});
        auto request = loanOf(id, nonce);
        request.__set_parts(each);
        auto out = header(number, shard);
        out.__set_requests({request});
        sendToRegion(number, shard, region, out);
    }
    return true;
}

auto allocator_state::surplusParts(const base::organisation_id &id, const organisation_state &item,
                                   const config::organisation &terms, base::time_point now) const
        -> std::int64_t
{
    return std::min(item.share.lendable(), unusedParts(id, item, terms, now));
}

auto allocator_state::unusedParts(const base::organisation_id &id, const organisation_state &item,
                                  const config::organisation &terms, base::time_point now) const
        -> std::int64_t
{
    const auto parts = item.share.parts();
    auto needed = isRecent(item, now) ? neededParts(item, terms, now) : 0;
    // A burst that can't be divided goes to the region that has requests waiting; if several have,
    // the home region is the first.
    if (smallestBurst(item, terms)) {
        needed = !item.held.empty() && isHome(id) ? parts : 0;
    }
    const auto outstanding = static_cast<double>(item.bucket.outstanding());
    const auto bound = terms.burst == 0 ? 0 : toParts(outstanding / terms.burst);
    return parts - std::max(needed, bound);
}

auto allocator_state::neededParts(const organisation_state &item, const config::organisation &terms,
                                  base::time_point now) -> std::int64_t
{
    const auto demand = item.demandAt(now);
    const auto rate = terms.rate > 0.0 ? demand * HEAD_ROOM / terms.rate : 1.0;
    const auto burst = terms.burst > 0 ? (1.0 + demand) / terms.burst : 1.0;
    return toParts(std::max(rate, burst));
}

auto allocator_state::isHome(const base::organisation_id &id) const -> bool
{
    const auto weight = [&id](const base::region_id &region) {
        return base::rendezvousWeight(id.str(), region.str());
    };
    return std::all_of(m_deps.regions.begin(), m_deps.regions.end(),
                       [&](const auto &region) { return weight(region) <= weight(m_deps.region); });
}

} // namespace hawthornpick::limits
