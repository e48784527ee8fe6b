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

//! Implementation of `token_cache`.
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
    struct live_grant
    {
        std::int64_t sequence;
        std::int32_t left;
        std::int32_t total;
        base::time_point expires;
        bool report;
    };
    struct open_ask
    {
        std::int64_t sequence = 0;
        std::int32_t need = 0;
        std::int32_t prefetch = 0;
        base::time_point firstSent;
        base::time_point lastSent;
        int redirects = 0;
        int sends = 0;
    };
    struct waiter
    {
        token_cache::callback done;
        base::time_point since;
    };
    struct entry
    {
        std::vector<live_grant> grants;
        std::optional<open_ask> ask;
        std::vector<waiter> waiting;
        std::vector<wire::closure> closures;
        bool queued = false;
        //! Requests per second, averaged over `DEMAND_TIME`.
        double demand = 0.0;
        base::time_point lastUse;
        base::time_point refusedUntil;
        base::milliseconds retryAfter{0};
        std::size_t candidate = 0;
    };
    struct group
    {
        mutable std::mutex lock;
        std::unordered_map<base::organisation_id, entry> entries;
        std::vector<base::organisation_id> queued;
    };
    struct finished
    {
        token_cache::callback done;
        admission_result result;
    };
    using finished_list = std::vector<finished>;

    static constexpr std::size_t GROUPS = 16;

    auto groupOf(const base::organisation_id &organisation) -> group &;
    auto takeFromGrants(entry &item, base::time_point now) -> bool;
    static auto needsAsk(const entry &item, base::time_point now) -> bool;
    static auto countDemand(entry &item, base::time_point now) -> void;
    static auto demandAt(const entry &item, base::time_point now) -> double;
    static auto liveTokens(const entry &item, base::time_point now) -> std::int32_t;
    static auto enqueue(group &target, const base::organisation_id &id, entry &item) -> void;
    auto scheduleFlush() -> void;
    auto flush(base::time_point now) -> messages;
    auto flushGroup(group &target, base::time_point now, rate_batch &batch) -> void;
    auto startAsk(entry &item, base::time_point now) -> void;
    auto sendAsk(const base::organisation_id &id, entry &item, base::time_point now,
                 rate_batch &batch) -> void;
    auto handle(const wire::answer &answer, base::time_point now, rate_batch &batch,
                finished_list &done) -> void;
    auto useGrant(entry &item, const wire::answer &answer, base::time_point now,
                  finished_list &done) -> void;
    auto redirect(const base::organisation_id &id, entry &item, base::time_point now,
                  rate_batch &batch) -> void;
    auto tickEntry(const base::organisation_id &id, entry &item, base::time_point now,
                   rate_batch &batch, finished_list &done) -> void;
    static auto returnUnused(entry &item, base::time_point now) -> void;
    static auto refuseAll(entry &item, admission_result result, finished_list &done) -> void;
    static auto idle(const entry &item, base::time_point now) -> bool;
    static auto callAll(const finished_list &done) -> void;

    candidates_function m_candidates;
    post_function m_post;
    std::atomic<std::int64_t> m_sequence;
    std::atomic<bool> m_flushScheduled{false};
    std::array<group, GROUPS> m_groups;
};

} // namespace hawthornpick::limits
