#include "limits/internal/tokencachestate.h"

#include "base/digest.h"
#include "base/thriftcodec.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornpick::limits {

namespace {

// A waiting caller is refused after this time.
constexpr base::duration MAX_WAIT_TIME = std::chrono::milliseconds(400);
// Age at which a token request without a grant is abandoned. It is shorter than the lifetime of a
// grant, so that a request ends before its grant would expire.
constexpr base::duration REQUEST_LIFETIME = std::chrono::milliseconds(450);
constexpr base::duration RESEND_INTERVAL = std::chrono::milliseconds(50);
// Sends without an answer after which the request goes to the next candidate.
constexpr int SENDS_PER_CANDIDATE = 2;
constexpr int MAX_REDIRECTS = 3;
// Time for which a refusal is repeated without a new token request. Without it, an organisation at
// several times its rate would cause one token request per request.
constexpr base::duration REFUSAL_CACHE_TIME = std::chrono::milliseconds(20);
constexpr base::milliseconds UNAVAILABLE_RETRY_AFTER{1000};
// Remaining lifetime at which the unused tokens of a grant are returned to the allocator.
constexpr base::duration RETURN_BEFORE_EXPIRY = std::chrono::milliseconds(130);
constexpr base::duration IDLE_EVICTION_TIME = std::chrono::seconds(3);
constexpr double DEMAND_DECAY_SECONDS = 1.0;
constexpr std::int32_t MAX_PREFETCH_TOKENS = 100000;
constexpr std::size_t MAX_WAITERS = 4096;
// Duration of the present demand that a prefetch covers; less than the lifetime of a grant.
constexpr double PREFETCH_SECONDS = 0.4;
// Another grant is requested when the remaining tokens cover the present demand for less than this.
constexpr double LOW_TOKENS_SECONDS = 0.1;

} // namespace

token_cache_state::token_cache_state(std::uint64_t session, candidates_function candidates,
                                     post_function post)
    : m_candidates(std::move(candidates)), m_post(std::move(post)),
      // Sequence number 0 means that a message carries closures only. The sign bit stays clear so
      // that the encoding is short.
      m_nextSequence(static_cast<std::int64_t>((session >> 24U) | 1U))
{}

auto token_cache_state::take(const base::organisation_id &organisation, base::time_point now,
                             token_cache::callback done) -> std::optional<admission_result>
{
    std::optional<admission_result> result;
    bool needsFlush = false;
    {
        auto &stripe = stripeOf(organisation);
        const std::scoped_lock guard(stripe.lock);
        auto &entry = stripe.entries[organisation];
        recordDemand(entry, now);
        if (entry.waiters.empty() && consumeGrantedToken(entry, now)) {
            result = admission_result{admission::Admitted, base::milliseconds{0}};
        } else if (!entry.pendingRequest && now < entry.refusedUntil) {
            result = admission_result{admission::RateExceeded, entry.retryAfter};
        } else if (entry.waiters.size() >= MAX_WAITERS) {
            result = admission_result{admission::RateExceeded, UNAVAILABLE_RETRY_AFTER};
        } else {
            entry.waiters.push_back({std::move(done), now});
        }
        if (needsRequest(entry, now) || !entry.closures.empty()) {
            enqueueForFlush(stripe, organisation, entry);
            needsFlush = true;
        }
    }
    if (needsFlush) {
        scheduleFlush();
    }
    return result;
}

auto token_cache_state::needsRequest(const organisation_entry &entry, base::time_point now) -> bool
{
    if (entry.pendingRequest) {
        return false;
    }
    if (!entry.waiters.empty()) {
        return true;
    }
    // The next grant is requested before the present one is used up.
    const bool isLow = availableTokens(entry, now) < entry.demand * LOW_TOKENS_SECONDS;
    return isLow && now >= entry.refusedUntil && entry.demand * PREFETCH_SECONDS >= 2.0;
}

auto token_cache_state::consumeGrantedToken(organisation_entry &entry, base::time_point now) -> bool
{
    std::erase_if(entry.grants,
                  [now](const active_grant &grant) { return now >= grant.expiresAt; });
    if (entry.grants.empty()) {
        return false;
    }
    auto &grant = entry.grants.front();
    --grant.remainingTokens;
    if (grant.remainingTokens == 0) {
        if (grant.reportUse) {
            wire::closure closure;
            closure.sequence = grant.sequence;
            entry.closures.push_back(closure);
        }
        entry.grants.erase(entry.grants.begin());
    }
    return true;
}

auto token_cache_state::demandAt(const organisation_entry &entry, base::time_point now) -> double
{
    return entry.demand * std::exp(-base::toSeconds(now - entry.lastUsedAt) / DEMAND_DECAY_SECONDS);
}

auto token_cache_state::recordDemand(organisation_entry &entry, base::time_point now) -> void
{
    entry.demand = demandAt(entry, now) + 1.0 / DEMAND_DECAY_SECONDS;
    entry.lastUsedAt = now;
}

auto token_cache_state::availableTokens(const organisation_entry &entry, base::time_point now)
        -> std::int32_t
{
    std::int32_t tokens = 0;
    for (const auto &grant : entry.grants) {
        tokens += now < grant.expiresAt ? grant.remainingTokens : 0;
    }
    return tokens;
}

auto token_cache_state::enqueueForFlush(lock_stripe &stripe, const base::organisation_id &id,
                                        organisation_entry &entry) -> void
{
    if (!entry.isQueued) {
        entry.isQueued = true;
        stripe.flushQueue.push_back(id);
    }
}

auto token_cache_state::scheduleFlush() -> void
{
    if (!m_flushScheduled.exchange(true)) {
        m_post([self = shared_from_this()](base::time_point now) { return self->flush(now); });
    }
}

auto token_cache_state::flush(base::time_point now) -> messages
{
    m_flushScheduled = false;
    rate_batch batch;
    for (auto &stripe : m_stripes) {
        const std::scoped_lock guard(stripe.lock);
        flushStripe(stripe, now, batch);
    }
    return batch.take();
}

auto token_cache_state::flushStripe(lock_stripe &stripe, base::time_point now, rate_batch &batch)
        -> void
{
    for (const auto &id : std::exchange(stripe.flushQueue, {})) {
        const auto found = stripe.entries.find(id);
        if (found == stripe.entries.end()) {
            continue;
        }
        auto &entry = found->second;
        entry.isQueued = false;
        if (!entry.pendingRequest) {
            startRequest(entry, now);
            sendRequest(id, entry, now, batch);
        }
    }
}

auto token_cache_state::startRequest(organisation_entry &entry, base::time_point now) -> void
{
    const auto neededTokens = static_cast<std::int32_t>(entry.waiters.size());
    const auto expectedTokens =
            std::min<double>(demandAt(entry, now) * PREFETCH_SECONDS, MAX_PREFETCH_TOKENS);
    const auto prefetchTokens =
            static_cast<std::int32_t>(expectedTokens) - availableTokens(entry, now) - neededTokens;
    if (neededTokens == 0 && prefetchTokens < 1) {
        return;
    }
    entry.pendingRequest = pending_request{
            m_nextSequence++, neededTokens, std::max(0, prefetchTokens), now, now, 0, 0};
}

auto token_cache_state::sendRequest(const base::organisation_id &id, organisation_entry &entry,
                                    base::time_point now, rate_batch &batch) -> void
{
    if (!entry.pendingRequest && entry.closures.empty()) {
        return;
    }
    const auto candidates = m_candidates(id);
    if (candidates.empty()) {
        return;
    }
    wire::ask message;
    message.organisation = id.str();
    if (entry.pendingRequest) {
        message.sequence = entry.pendingRequest->sequence;
        message.need = entry.pendingRequest->neededTokens;
        message.prefetch = entry.pendingRequest->prefetchTokens;
        entry.pendingRequest->lastSentAt = now;
        ++entry.pendingRequest->sendCount;
    }
    if (!entry.closures.empty()) {
        message.__set_closures(std::exchange(entry.closures, {}));
    }
    batch.add(candidates[entry.candidateIndex % candidates.size()], message);
}

auto token_cache_state::receive(std::string_view payload, base::time_point now) -> messages
{
    const auto message = base::decodeThrift<wire::rate_message>(payload);
    if (!message) {
        return {};
    }
    rate_batch batch;
    completed_list completed;
    for (const auto &answer : message->answers) {
        handleAnswer(answer, now, batch, completed);
    }
    invokeCallbacks(completed);
    return batch.take();
}

auto token_cache_state::handleAnswer(const wire::answer &answer, base::time_point now,
                                     rate_batch &batch, completed_list &completed) -> void
{
    const base::organisation_id id(answer.organisation);
    auto &stripe = stripeOf(id);
    const std::scoped_lock guard(stripe.lock);
    const auto found = stripe.entries.find(id);
    // The first answer ends a token request, so each grant is used only once.
    if (found == stripe.entries.end() || !found->second.pendingRequest
        || found->second.pendingRequest->sequence != answer.sequence) {
        return;
    }
    auto &entry = found->second;
    switch (static_cast<answer_kind>(answer.kind)) {
    case answer_kind::Granted:
        applyGrant(entry, answer, now, completed);
        break;
    case answer_kind::Exceeded:
        entry.pendingRequest.reset();
        entry.retryAfter = base::milliseconds(std::max(1, answer.retry_ms));
        entry.refusedUntil = now + std::min<base::duration>(entry.retryAfter, REFUSAL_CACHE_TIME);
        refuseWaiters(entry, {admission::RateExceeded, entry.retryAfter}, completed);
        return;
    case answer_kind::NotHolder:
        redirectToNextCandidate(id, entry, now, batch);
        return;
    case answer_kind::NotReady:
        // A later tick sends the request again.
        return;
    }
    if (!entry.pendingRequest && (!entry.waiters.empty() || !entry.closures.empty())) {
        startRequest(entry, now);
        sendRequest(id, entry, now, batch);
    }
}

auto token_cache_state::applyGrant(organisation_entry &entry, const wire::answer &answer,
                                   base::time_point now, completed_list &completed) -> void
{
    const auto expiresAt = entry.pendingRequest->firstSentAt + GRANT_LIFETIME;
    const auto sequence = entry.pendingRequest->sequence;
    entry.pendingRequest.reset();
    if (now >= expiresAt || answer.tokens <= 0) {
        return;
    }
    entry.refusedUntil = now;
    entry.grants.push_back({sequence, answer.tokens, answer.tokens, expiresAt, answer.report});
    std::size_t servedCount = 0;
    while (servedCount < entry.waiters.size() && consumeGrantedToken(entry, now)) {
        completed.push_back(
                {std::move(entry.waiters[servedCount].callback), {admission::Admitted, {}}});
        ++servedCount;
    }
    entry.waiters.erase(entry.waiters.begin(),
                        entry.waiters.begin() + static_cast<std::ptrdiff_t>(servedCount));
}

auto token_cache_state::redirectToNextCandidate(const base::organisation_id &id,
                                                organisation_entry &entry, base::time_point now,
                                                rate_batch &batch) -> void
{
    ++entry.candidateIndex;
    if (++entry.pendingRequest->redirectCount <= MAX_REDIRECTS) {
        sendRequest(id, entry, now, batch);
    }
}

auto token_cache_state::tick(base::time_point now) -> messages
{
    rate_batch batch;
    completed_list completed;
    for (auto &stripe : m_stripes) {
        const std::scoped_lock guard(stripe.lock);
        for (auto position = stripe.entries.begin(); position != stripe.entries.end();) {
            tickEntry(position->first, position->second, now, batch, completed);
            position = isIdle(position->second, now) ? stripe.entries.erase(position)
                                                     : std::next(position);
        }
    }
    invokeCallbacks(completed);
    return batch.take();
}

auto token_cache_state::tickEntry(const base::organisation_id &id, organisation_entry &entry,
                                  base::time_point now, rate_batch &batch,
                                  completed_list &completed) -> void
{
    const auto firstInTime = std::find_if(entry.waiters.begin(), entry.waiters.end(),
                                          [now](const waiting_caller &caller) {
                                              return now - caller.waitingSince < MAX_WAIT_TIME;
                                          });
    for (auto waiter = entry.waiters.begin(); waiter != firstInTime; ++waiter) {
        completed.push_back({std::move(waiter->callback),
                             {admission::RateUnavailable, UNAVAILABLE_RETRY_AFTER}});
    }
    entry.waiters.erase(entry.waiters.begin(), firstInTime);
    returnExpiringGrants(entry, now);
    if (entry.pendingRequest && now - entry.pendingRequest->firstSentAt >= REQUEST_LIFETIME) {
        entry.pendingRequest.reset();
    }
    if (!entry.pendingRequest && !entry.waiters.empty()) {
        startRequest(entry, now);
        sendRequest(id, entry, now, batch);
    } else if (entry.pendingRequest && now - entry.pendingRequest->lastSentAt >= RESEND_INTERVAL) {
        entry.candidateIndex += entry.pendingRequest->sendCount % SENDS_PER_CANDIDATE == 0 ? 1 : 0;
        entry.pendingRequest->redirectCount = 0;
        sendRequest(id, entry, now, batch);
    } else if (!entry.closures.empty()) {
        const auto pendingRequest = std::exchange(entry.pendingRequest, std::nullopt);
        sendRequest(id, entry, now, batch);
        entry.pendingRequest = pendingRequest;
    }
}

auto token_cache_state::returnExpiringGrants(organisation_entry &entry, base::time_point now)
        -> void
{
    std::erase_if(entry.grants, [&entry, now](const active_grant &grant) {
        if (now < grant.expiresAt && grant.expiresAt - now < RETURN_BEFORE_EXPIRY) {
            wire::closure closure;
            closure.sequence = grant.sequence;
            closure.unused = grant.remainingTokens;
            entry.closures.push_back(closure);
            return true;
        }
        return now >= grant.expiresAt;
    });
}

auto token_cache_state::refuseWaiters(organisation_entry &entry, admission_result result,
                                      completed_list &completed) -> void
{
    for (auto &waiter : std::exchange(entry.waiters, {})) {
        completed.push_back({std::move(waiter.callback), result});
    }
}

auto token_cache_state::isIdle(const organisation_entry &entry, base::time_point now) -> bool
{
    return entry.grants.empty() && !entry.pendingRequest && entry.waiters.empty()
           && entry.closures.empty() && !entry.isQueued
           && now - entry.lastUsedAt >= IDLE_EVICTION_TIME;
}

auto token_cache_state::invokeCallbacks(const completed_list &completed) -> void
{
    for (const auto &request : completed) {
        request.callback(request.result);
    }
}

auto token_cache_state::stripeOf(const base::organisation_id &organisation) -> lock_stripe &
{
    return m_stripes[base::hash64(organisation.str()) % STRIPE_COUNT];
}

auto token_cache_state::size() const -> std::size_t
{
    std::size_t total = 0;
    for (const auto &stripe : m_stripes) {
        const std::scoped_lock guard(stripe.lock);
        total += stripe.entries.size();
    }
    return total;
}

} // namespace hawthornpick::limits
