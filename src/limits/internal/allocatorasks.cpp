#include "limits/internal/allocatorstate.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::limits {

namespace {

// Longest time that a token request waits for a token to accrue or for a share of another region.
// Together with the network delay it must stay below the time after which the entry node refuses
// the caller (400 ms).
constexpr base::duration MAX_QUEUE_TIME = std::chrono::milliseconds(200);
constexpr base::duration MAX_RETRY_AFTER = std::chrono::seconds(10);
constexpr base::duration UNKNOWN_ORGANISATION_RETRY_AFTER = std::chrono::seconds(1);
// A prefetch takes at most 1/PREFETCH_DIVISOR of the available tokens, so that tokens remain for
// other entry nodes.
constexpr std::int32_t PREFETCH_DIVISOR = 8;
// If more than this fraction of the burst is granted, entry nodes report at once that a grant is
// used up. Only then do used tokens keep the bucket from refilling.
constexpr double REPORT_USE_BURST_FRACTION = 0.5;

} // namespace

auto allocator_state::handleTokenRequest(const base::node_id &from, const wire::ask &ask,
                                         base::time_point now) -> void
{
    const base::organisation_id id(ask.organisation);
    const auto shardNumber = shardOf(id);
    auto *shard = findHeldShard(shardNumber, now);
    if (shard == nullptr || !shard->isOpen) {
        if (ask.sequence != 0) {
            sendAnswer(from, id, ask.sequence,
                       shard == nullptr ? answer_kind::NotHolder : answer_kind::NotReady);
        }
        return;
    }
    const auto *limit = m_configuration->organisationById(id);
    if (limit == nullptr) {
        sendAnswer(from, id, ask.sequence, answer_kind::Exceeded, UNKNOWN_ORGANISATION_RETRY_AFTER);
        return;
    }
    auto &state = findOrCreateState(*shard, id, *limit, now);
    refreshState(id, state, now);
    for (const auto &closure : ask.closures) {
        state.recordDemand(-state.bucket.closeGrant(from, closure.sequence, closure.unused), now);
    }
    if (ask.sequence != 0) {
        state.lastUsedAt = now;
        const auto *existingGrant = state.bucket.findGrant(from, ask.sequence);
        const bool isQueued = std::any_of(
                state.queuedRequests.begin(), state.queuedRequests.end(), [&](const auto &each) {
                    return each.sequence == ask.sequence && each.entryNode == from;
                });
        if (existingGrant != nullptr) {
            sendGrant(id, *existingGrant);
        } else if (!isQueued) {
            state.queuedRequests.push_back({from, ask.sequence, ask.need, ask.prefetch, now});
        }
    }
    serveQueuedRequests(shardNumber, *shard, id, state, now);
}

auto allocator_state::serveQueuedRequests(shard_number shardNumber, shard_state &shard,
                                          const base::organisation_id &id,
                                          organisation_state &state, base::time_point now) -> void
{
    std::size_t servedCount = 0;
    while (servedCount < state.queuedRequests.size()
           && serveRequest(shardNumber, shard, id, state, state.queuedRequests[servedCount], now)) {
        ++servedCount;
    }
    state.queuedRequests.erase(state.queuedRequests.begin(),
                               state.queuedRequests.begin()
                                       + static_cast<std::ptrdiff_t>(servedCount));
}

auto allocator_state::serveRequest(shard_number shardNumber, shard_state &shard,
                                   const base::organisation_id &id, organisation_state &state,
                                   const token_request &request, base::time_point now) -> bool
{
    if (state.bucket.level() >= 1.0) {
        grantTokens(id, state, request, now);
        return true;
    }
    if (mustWait(shardNumber, shard, id, state, request, now)) {
        return false;
    }
    state.recordDemand(request.neededTokens, now);
    sendAnswer(request.entryNode, id, request.sequence, answer_kind::Exceeded,
               std::clamp<base::duration>(state.bucket.timeUntilToken(),
                                          std::chrono::milliseconds(1), MAX_RETRY_AFTER));
    return true;
}

auto allocator_state::mustWait(shard_number shardNumber, shard_state &shard,
                               const base::organisation_id &id, organisation_state &state,
                               const token_request &request, base::time_point now) -> bool
{
    const bool expectsParts = requestLoans(shardNumber, shard, id, state, now)
                              || recallLoans(shardNumber, shard, id, state, now);
    const auto remainingTime = request.receivedAt + MAX_QUEUE_TIME - now;
    if (remainingTime <= base::duration{0} || request.neededTokens == 0) {
        return false;
    }
    const auto freeTokens =
            state.bucket.burst() - static_cast<double>(state.bucket.outstandingTokens());
    const bool isBlockedByGrants = freeTokens < 1.0 && state.bucket.burst() >= 1.0;
    const bool accruesInTime =
            state.bucket.burst() >= 1.0 && state.bucket.timeUntilToken() <= remainingTime;
    return expectsParts || isBlockedByGrants || accruesInTime;
}

auto allocator_state::grantTokens(const base::organisation_id &id, organisation_state &state,
                                  const token_request &request, base::time_point now) -> void
{
    const auto availableTokens = static_cast<std::int32_t>(state.bucket.level());
    const auto neededTokens = std::clamp(request.neededTokens, 0, availableTokens);
    const auto prefetchedTokens = std::clamp(request.prefetchTokens, 0,
                                             (availableTokens - neededTokens) / PREFETCH_DIVISOR);
    if (neededTokens + prefetchedTokens == 0) {
        sendAnswer(request.entryNode, id, request.sequence, answer_kind::Exceeded,
                   std::chrono::milliseconds(50));
        return;
    }
    token_bucket::grant grant{request.entryNode, request.sequence, neededTokens + prefetchedTokens,
                              now + GRANT_HOLD_TIME, false};
    const auto outstandingTokens =
            static_cast<double>(state.bucket.outstandingTokens() + grant.tokens);
    grant.reportUse = outstandingTokens > state.bucket.burst() * REPORT_USE_BURST_FRACTION;
    state.bucket.issue(grant);
    state.recordDemand(grant.tokens, now);
    sendGrant(id, grant);
}

auto allocator_state::sendAnswer(const base::node_id &to, const base::organisation_id &id,
                                 std::int64_t sequence, answer_kind kind, base::duration retryAfter)
        -> void
{
    wire::answer message;
    message.organisation = id.str();
    message.sequence = sequence;
    message.kind = static_cast<std::int8_t>(kind);
    if (kind == answer_kind::Exceeded) {
        message.__set_retry_ms(static_cast<std::int32_t>(base::toMilliseconds(retryAfter)));
    }
    m_batch.add(to, message);
}

auto allocator_state::sendGrant(const base::organisation_id &id, const token_bucket::grant &grant)
        -> void
{
    wire::answer message;
    message.organisation = id.str();
    message.sequence = grant.sequence;
    message.kind = static_cast<std::int8_t>(answer_kind::Granted);
    message.__set_tokens(grant.tokens);
    if (grant.reportUse) {
        message.__set_report(true);
    }
    m_batch.add(grant.entryNode, message);
}

} // namespace hawthornpick::limits
