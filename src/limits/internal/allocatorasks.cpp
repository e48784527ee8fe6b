#include "limits/internal/allocatorstate.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::limits {

namespace {

// Longest time that an ask waits for a token to accrue or for a share from another region; with
// the way back it must stay below the time after which the entry node gives up (400 ms).
constexpr base::duration MAX_HOLD = std::chrono::milliseconds(200);
constexpr base::duration MAX_RETRY = std::chrono::seconds(10);
constexpr base::duration UNKNOWN_RETRY = std::chrono::seconds(1);
// A prefetch takes at most this part of the level, so that many entry nodes find tokens.
constexpr std::int32_t PREFETCH_DIVISOR = 8;
// A use is reported at once if more than this part of the burst is on grant: only then do used
// tokens keep the bucket from refilling.
constexpr double REPORT_PART = 0.5;

} // namespace

auto allocator_state::handleAsk(const base::node_id &from, const wire::ask &ask,
                                base::time_point now) -> void
{
    const base::organisation_id id(ask.organisation);
    const auto number = shardOf(id);
    auto *shard = heldShard(number, now);
    if (shard == nullptr || !shard->open) {
        if (ask.sequence != 0) {
            answer(from, id, ask.sequence,
                   shard == nullptr ? answer_kind::NotHolder : answer_kind::NotReady);
        }
        return;
    }
    const auto *terms = m_configuration->organisationById(id);
    if (terms == nullptr) {
        answer(from, id, ask.sequence, answer_kind::Exceeded, UNKNOWN_RETRY);
        return;
    }
    auto &item = stateOf(*shard, id, *terms, now);
    refresh(id, item, now);
    for (const auto &closed : ask.closures) {
        item.countDemand(-item.bucket.close(from, closed.sequence, closed.unused), now);
    }
    if (ask.sequence != 0) {
        item.lastUse = now;
        const auto *known = item.bucket.find(from, ask.sequence);
        const bool held = std::any_of(item.held.begin(), item.held.end(), [&](const auto &each) {
            return each.sequence == ask.sequence && each.entry == from;
        });
        if (known != nullptr) {
            answerGrant(id, *known);
        } else if (!held) {
            item.held.push_back({from, ask.sequence, ask.need, ask.prefetch, now});
        }
    }
    serveHeld(number, *shard, id, item, now);
}

auto allocator_state::serveHeld(shard_number number, shard_state &shard,
                                const base::organisation_id &id, organisation_state &item,
                                base::time_point now) -> void
{
    std::size_t served = 0;
    while (served < item.held.size() && serve(number, shard, id, item, item.held[served], now)) {
        ++served;
    }
    item.held.erase(item.held.begin(), item.held.begin() + static_cast<std::ptrdiff_t>(served));
}

auto allocator_state::serve(shard_number number, shard_state &shard,
                            const base::organisation_id &id, organisation_state &item,
                            const held_ask &ask, base::time_point now) -> bool
{
    if (item.bucket.level() >= 1.0) {
        grantTokens(id, item, ask, now);
        return true;
    }
    if (mustWait(number, shard, id, item, ask, now)) {
        return false;
    }
    item.countDemand(ask.need, now);
    answer(ask.entry, id, ask.sequence, answer_kind::Exceeded,
           std::clamp<base::duration>(item.bucket.timeToToken(), std::chrono::milliseconds(1),
                                      MAX_RETRY));
    return true;
}

auto allocator_state::mustWait(shard_number number, shard_state &shard,
                               const base::organisation_id &id, organisation_state &item,
                               const held_ask &ask, base::time_point now) -> bool
{
    const bool borrowing =
            seekShare(number, shard, id, item, now) || recallLoans(number, shard, id, item, now);
    const auto left = ask.since + MAX_HOLD - now;
    if (left <= base::duration{0} || ask.need == 0) {
        return false;
    }
    const auto free = item.bucket.burst() - static_cast<double>(item.bucket.outstanding());
    const bool blockedByGrants = free < 1.0 && item.bucket.burst() >= 1.0;
    const bool accruesSoon = item.bucket.burst() >= 1.0 && item.bucket.timeToToken() <= left;
    return borrowing || blockedByGrants || accruesSoon;
}

auto allocator_state::grantTokens(const base::organisation_id &id, organisation_state &item,
                                  const held_ask &ask, base::time_point now) -> void
{
    const auto available = static_cast<std::int32_t>(item.bucket.level());
    const auto needed = std::clamp(ask.need, 0, available);
    const auto extra = std::clamp(ask.prefetch, 0, (available - needed) / PREFETCH_DIVISOR);
    if (needed + extra == 0) {
        answer(ask.entry, id, ask.sequence, answer_kind::Exceeded, std::chrono::milliseconds(50));
        return;
    }
    token_bucket::grant grant{ask.entry, ask.sequence, needed + extra, now + GRANT_HOLD, false};
    const auto out = static_cast<double>(item.bucket.outstanding() + grant.tokens);
    grant.report = out > item.bucket.burst() * REPORT_PART;
    item.bucket.issue(grant);
    item.countDemand(grant.tokens, now);
    answerGrant(id, grant);
}

auto allocator_state::answer(const base::node_id &to, const base::organisation_id &id,
                             std::int64_t sequence, answer_kind kind, base::duration retry) -> void
{
    wire::answer message;
    message.organisation = id.str();
    message.sequence = sequence;
    message.kind = static_cast<std::int8_t>(kind);
    if (kind == answer_kind::Exceeded) {
        message.__set_retry_ms(static_cast<std::int32_t>(base::toMilliseconds(retry)));
    }
    m_batch.add(to, message);
}

auto allocator_state::answerGrant(const base::organisation_id &id, const token_bucket::grant &grant)
        -> void
{
    wire::answer message;
    message.organisation = id.str();
    message.sequence = grant.sequence;
    message.kind = static_cast<std::int8_t>(answer_kind::Granted);
    message.__set_tokens(grant.tokens);
    if (grant.report) {
        message.__set_report(true);
    }
    m_batch.add(grant.entry, message);
}

} // namespace hawthornpick::limits
