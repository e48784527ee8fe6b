#pragma once

#include "limits/generated/limitswire_types.h"
#include "limits/grantterms.h"
#include "limits/internal/ratebatch.h"
#include "limits/tokencache.h"

#include <array>
#include <atomic>
#include <mutex>
#include <unordered_map>

namespace hawthornpick::limits {

//! Implementation of `token_cache`. Organisations are divided into stripes with one lock each.
class token_cache_state : public std::enable_shared_from_this<token_cache_state>
{
public:
    token_cache_state(std::uint64_t session, candidates_function candidates, post_function post);

    auto take(const base::organisation_id &organisation, base::time_point now,
              token_cache::callback done) -> std::optional<admission_result>;
    auto receive(std::string_view payload, base::time_point now) -> messages;
    auto tick(base::time_point now) -> messages;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct active_grant
    {
        std::int64_t sequence;
        std::int32_t remainingTokens;
        std::int32_t totalTokens;
        base::time_point expiresAt;
        //! True if the allocator must be notified when the last token is used.
        bool reportUse;
    };
    struct pending_request
    {
        std::int64_t sequence = 0;
        std::int32_t neededTokens = 0;
        std::int32_t prefetchTokens = 0;
        base::time_point firstSentAt;
        base::time_point lastSentAt;
        int redirectCount = 0;
        int sendCount = 0;
    };
    struct waiting_caller
    {
        token_cache::callback callback;
        base::time_point waitingSince;
    };
    struct organisation_entry
    {
        std::vector<active_grant> grants;
        std::optional<pending_request> pendingRequest;
        std::vector<waiting_caller> waiters;
        //! Ended grants that have not been reported to the allocator yet.
        std::vector<wire::closure> closures;
        //! True if the organisation is in the flush queue of its stripe.
        bool isQueued = false;
        //! Requests per second at `lastUsedAt`, averaged over DEMAND_DECAY_SECONDS.
        double demand = 0.0;
        base::time_point lastUsedAt;
        //! Time until which refusals are repeated without a new token request.
        base::time_point refusedUntil;
        base::milliseconds retryAfter{0};
        //! Index of the node that token requests go to; taken modulo the number of candidates.
        std::size_t candidateIndex = 0;
    };
    struct lock_stripe
    {
        mutable std::mutex lock;
        std::unordered_map<base::organisation_id, organisation_entry> entries;
        std::vector<base::organisation_id> flushQueue;
    };
    struct completed_request
    {
        token_cache::callback callback;
        admission_result result;
    };
    using completed_list = std::vector<completed_request>;

    static constexpr std::size_t STRIPE_COUNT = 16;

    auto stripeOf(const base::organisation_id &organisation) -> lock_stripe &;
    auto consumeGrantedToken(organisation_entry &entry, base::time_point now) -> bool;
    static auto needsRequest(const organisation_entry &entry, base::time_point now) -> bool;
    static auto recordDemand(organisation_entry &entry, base::time_point now) -> void;
    static auto demandAt(const organisation_entry &entry, base::time_point now) -> double;
    static auto availableTokens(const organisation_entry &entry, base::time_point now)
            -> std::int32_t;
    static auto enqueueForFlush(lock_stripe &stripe, const base::organisation_id &id,
                                organisation_entry &entry) -> void;
    auto scheduleFlush() -> void;
    auto flush(base::time_point now) -> messages;
    auto flushStripe(lock_stripe &stripe, base::time_point now, rate_batch &batch) -> void;
    auto startRequest(organisation_entry &entry, base::time_point now) -> void;
    auto sendRequest(const base::organisation_id &id, organisation_entry &entry,
                     base::time_point now, rate_batch &batch) -> void;
    auto handleAnswer(const wire::answer &answer, base::time_point now, rate_batch &batch,
                      completed_list &completed) -> void;
    auto applyGrant(organisation_entry &entry, const wire::answer &answer, base::time_point now,
                    completed_list &completed) -> void;
    auto redirectToNextCandidate(const base::organisation_id &id, organisation_entry &entry,
                                 base::time_point now, rate_batch &batch) -> void;
    auto tickEntry(const base::organisation_id &id, organisation_entry &entry, base::time_point now,
                   rate_batch &batch, completed_list &completed) -> void;
    static auto returnExpiringGrants(organisation_entry &entry, base::time_point now) -> void;
    static auto refuseWaiters(organisation_entry &entry, admission_result result,
                              completed_list &completed) -> void;
    static auto isIdle(const organisation_entry &entry, base::time_point now) -> bool;
    static auto invokeCallbacks(const completed_list &completed) -> void;

    candidates_function m_candidates;
    post_function m_post;
    std::atomic<std::int64_t> m_nextSequence;
    std::atomic<bool> m_flushScheduled{false};
    std::array<lock_stripe, STRIPE_COUNT> m_stripes;
};

} // namespace hawthornpick::limits
