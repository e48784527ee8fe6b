#include "limits/internal/tokencachestate.h"

#include "base/digest.h"
#include "base/thriftcodec.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornpick::limits {

namespace {

// A waiting request is refused after this time; the ask must end before its grant would.
constexpr base::duration ASK_LIMIT = std::chrono::milliseconds(400);
constexpr base::duration ASK_FORGET = std::chrono::milliseconds(450);
constexpr base::duration ASK_RETRY = std::chrono::milliseconds(50);
// Sends without an answer after which the next candidate is asked.
constexpr int SENDS_PER_CANDIDATE = 2;
constexpr int MAX_REDIRECTS = 3;
// Time for which a refusal is repeated without another ask. Keeps an organisation at several times
// its rate from causing one ask for each request.
constexpr base::duration REFUSAL_REPEAT = std::chrono::milliseconds(20);
constexpr base::milliseconds UNAVAILABLE_RETRY{1000};
constexpr base::duration RETURN_BEFORE_END = std::chrono::milliseconds(130);
constexpr base::duration IDLE_TIME = std::chrono::seconds(3);
constexpr double DEMAND_SECONDS = 1.0;
constexpr std::int32_t MAX_PREFETCH = 100000;
constexpr std::size_t MAX_WAITING = 4096;
// Part of the grant life that a prefetch covers.
constexpr double PREFETCH_SECONDS = 0.4;
// A new grant is asked for when the tokens left last for less than this.
constexpr double LOW_SECONDS = 0.1;

} // namespace

token_cache_state::token_cache_state(std::uint64_t session, candidates_function candidates,
                                     post_function post)
    : m_candidates(std::move(candidates)), m_post(std::move(post)),
      // Sequence 0 stands for "closures only"; the sign bit stays clear for short encodings.
      m_sequence(static_cast<std::int64_t>((session >> 24U) | 1U))
{}

auto token_cache_state::take(const base::organisation_id &organisation, base::time_point now,
                             token_cache::callback done) -> std::optional<admission_result>
{
    std::optional<admission_result> result;
    bool wake = false;
    {
        auto &target = groupOf(organisation);
        const std::scoped_lock guard(target.lock);
        auto &item = target.entries[organisation];
        countDemand(item, now);
        if (item.waiting.empty() && takeFromGrants(item, now)) {
            result = admission_result{admission::Admitted, base::milliseconds{0}};
        } else if (!item.ask && now < item.refusedUntil) {
            result = admission_result{admission::RateExceeded, item.retryAfter};
        } else if (item.waiting.size() >= MAX_WAITING) {
            result = admission_result{admission::RateExceeded, UNAVAILABLE_RETRY};
        } else {
            item.waiting.push_back({std::move(done), now});
        }
        if (needsAsk(item, now) || !item.closures.empty()) {
            enqueue(target, organisation, item);
            wake = true;
        }
    }
    if (wake) {
        scheduleFlush();
    }
    return result;
}

auto token_cache_state::needsAsk(const entry &item, base::time_point now) -> bool
{
    if (item.ask) {
        return false;
    }
    if (!item.waiting.empty()) {
        return true;
    }
    // Asks for the next grant before the present one is used up.
    const bool low = liveTokens(item, now) < item.demand * LOW_SECONDS;
    return low && now >= item.refusedUntil && item.demand * PREFETCH_SECONDS >= 2.0;
}

auto token_cache_state::takeFromGrants(entry &item, base::time_point now) -> bool
{
    std::erase_if(item.grants, [now](const live_grant &grant) { return now >= grant.expires; });
    if (item.grants.empty()) {
        return false;
    }
    auto &grant = item.grants.front();
    --grant.left;
    if (grant.left == 0) {
        if (grant.report) {
            wire::closure closed;
            closed.sequence = grant.sequence;
            item.closures.push_back(closed);
        }
        item.grants.erase(item.grants.begin());
    }
    return true;
}

auto token_cache_state::demandAt(const entry &item, base::time_point now) -> double
{
    return item.demand * std::exp(-base::toSeconds(now - item.lastUse) / DEMAND_SECONDS);
}

auto token_cache_state::countDemand(entry &item, base::time_point now) -> void
{
    item.demand = demandAt(item, now) + 1.0 / DEMAND_SECONDS;
    item.lastUse = now;
}

auto token_cache_state::liveTokens(const entry &item, base::time_point now) -> std::int32_t
{
    std::int32_t total = 0;
    for (const auto &grant : item.grants) {
        total += now < grant.expires ? grant.left : 0;
    }
    return total;
}

auto token_cache_state::enqueue(group &target, const base::organisation_id &id, entry &item) -> void
{
    if (!item.queued) {
        item.queued = true;
        target.queued.push_back(id);
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
    for (auto &target : m_groups) {
        const std::scoped_lock guard(target.lock);
        flushGroup(target, now, batch);
    }
    return batch.take();
}

auto token_cache_state::flushGroup(group &target, base::time_point now, rate_batch &batch) -> void
{
    for (const auto &id : std::exchange(target.queued, {})) {
        const auto found = target.entries.find(id);
        if (found == target.entries.end()) {
            continue;
        }
        auto &item = found->second;
        item.queued = false;
        if (!item.ask) {
            startAsk(item, now);
            sendAsk(id, item, now, batch);
        }
    }
}

auto token_cache_state::startAsk(entry &item, base::time_point now) -> void
{
    const auto need = static_cast<std::int32_t>(item.waiting.size());
    const auto expected = std::min<double>(demandAt(item, now) * PREFETCH_SECONDS, MAX_PREFETCH);
    const auto prefetch = static_cast<std::int32_t>(expected) - liveTokens(item, now) - need;
    if (need == 0 && prefetch < 1) {
        return;
    }
    item.ask = open_ask{m_sequence++, need, std::max(0, prefetch), now, now, 0, 0};
}

auto token_cache_state::sendAsk(const base::organisation_id &id, entry &item, base::time_point now,
                                rate_batch &batch) -> void
{
    if (!item.ask && item.closures.empty()) {
        return;
    }
    const auto candidates = m_candidates(id);
    if (candidates.empty()) {
        return;
    }
    wire::ask message;
    message.organisation = id.str();
    if (item.ask) {
        message.sequence = item.ask->sequence;
        message.need = item.ask->need;
        message.prefetch = item.ask->prefetch;
        item.ask->lastSent = now;
        ++item.ask->sends;
    }
    if (!item.closures.empty()) {
        message.__set_closures(std::exchange(item.closures, {}));
    }
    batch.add(candidates[item.candidate % candidates.size()], message);
}

auto token_cache_state::receive(std::string_view payload, base::time_point now) -> messages
{
    const auto message = base::decodeThrift<wire::rate_message>(payload);
    if (!message) {
        return {};
    }
    rate_batch batch;
    finished_list done;
    for (const auto &answer : message->answers) {
        handle(answer, now, batch, done);
    }
    callAll(done);
    return batch.take();
}

auto token_cache_state::handle(const wire::answer &answer, base::time_point now, rate_batch &batch,
                               finished_list &done) -> void
{
    const base::organisation_id id(answer.organisation);
    auto &target = groupOf(id);
    const std::scoped_lock guard(target.lock);
    const auto found = target.entries.find(id);
    // Each grant is used once: its ask is closed by the first answer.
    if (found == target.entries.end() || !found->second.ask
        || found->second.ask->sequence != answer.sequence) {
        return;
    }
    auto &item = found->second;
    switch (static_cast<answer_kind>(answer.kind)) {
    case answer_kind::Granted:
        useGrant(item, answer, now, done);
        break;
    case answer_kind::Exceeded:
        item.ask.reset();
        item.retryAfter = base::milliseconds(std::max(1, answer.retry_ms));
        item.refusedUntil = now + std::min<base::duration>(item.retryAfter, REFUSAL_REPEAT);
        refuseAll(item, {admission::RateExceeded, item.retryAfter}, done);
        return;
    case answer_kind::NotHolder:
        redirect(id, item, now, batch);
        return;
    case answer_kind::NotReady:
        // The next tick asks again.
        return;
    }
    if (!item.ask && (!item.waiting.empty() || !item.closures.empty())) {
        startAsk(item, now);
        sendAsk(id, item, now, batch);
    }
}

auto token_cache_state::useGrant(entry &item, const wire::answer &answer, base::time_point now,
                                 finished_list &done) -> void
{
    const auto expires = item.ask->firstSent + GRANT_LIFE;
    const auto sequence = item.ask->sequence;
    item.ask.reset();
    if (now >= expires || answer.tokens <= 0) {
        return;
    }
    item.refusedUntil = now;
    item.grants.push_back({sequence, answer.tokens, answer.tokens, expires, answer.report});
    std::size_t served = 0;
    while (served < item.waiting.size() && takeFromGrants(item, now)) {
        done.push_back({std::move(item.waiting[served].done), {admission::Admitted, {}}});
        ++served;
    }
    item.waiting.erase(item.waiting.begin(),
                       item.waiting.begin() + static_cast<std::ptrdiff_t>(served));
}

auto token_cache_state::redirect(const base::organisation_id &id, entry &item, base::time_point now,
                                 rate_batch &batch) -> void
{
    ++item.candidate;
    if (++item.ask->redirects <= MAX_REDIRECTS) {
        sendAsk(id, item, now, batch);
    }
}

auto token_cache_state::tick(base::time_point now) -> messages
{
    rate_batch batch;
    finished_list done;
    for (auto &target : m_groups) {
        const std::scoped_lock guard(target.lock);
        for (auto item = target.entries.begin(); item != target.entries.end();) {
            tickEntry(item->first, item->second, now, batch, done);
            item = idle(item->second, now) ? target.entries.erase(item) : std::next(item);
        }
    }
    callAll(done);
    return batch.take();
}

auto token_cache_state::tickEntry(const base::organisation_id &id, entry &item,
                                  base::time_point now, rate_batch &batch, finished_list &done)
        -> void
{
    const auto late =
            std::find_if(item.waiting.begin(), item.waiting.end(),
                         [now](const waiter &each) { return now - each.since < ASK_LIMIT; });
    for (auto each = item.waiting.begin(); each != late; ++each) {
        done.push_back({std::move(each->done), {admission::RateUnavailable, UNAVAILABLE_RETRY}});
    }
    item.waiting.erase(item.waiting.begin(), late);
    returnUnused(item, now);
    if (item.ask && now - item.ask->firstSent >= ASK_FORGET) {
        item.ask.reset();
    }
    if (!item.ask && !item.waiting.empty()) {
        startAsk(item, now);
        sendAsk(id, item, now, batch);
    } else if (item.ask && now - item.ask->lastSent >= ASK_RETRY) {
        item.candidate += item.ask->sends % SENDS_PER_CANDIDATE == 0 ? 1 : 0;
        item.ask->redirects = 0;
        sendAsk(id, item, now, batch);
    } else if (!item.closures.empty()) {
        const auto ask = std::exchange(item.ask, std::nullopt);
        sendAsk(id, item, now, batch);
        item.ask = ask;
    }
}

auto token_cache_state::returnUnused(entry &item, base::time_point now) -> void
{
    std::erase_if(item.grants, [&item, now](const live_grant &grant) {
        if (now < grant.expires && grant.expires - now < RETURN_BEFORE_END) {
            wire::closure closed;
            closed.sequence = grant.sequence;
            closed.unused = grant.left;
            item.closures.push_back(closed);
            return true;
        }
        return now >= grant.expires;
    });
}

auto token_cache_state::refuseAll(entry &item, admission_result result, finished_list &done) -> void
{
    for (auto &each : std::exchange(item.waiting, {})) {
        done.push_back({std::move(each.done), result});
    }
}

auto token_cache_state::idle(const entry &item, base::time_point now) -> bool
{
    return item.grants.empty() && !item.ask && item.waiting.empty() && item.closures.empty()
           && !item.queued && now - item.lastUse >= IDLE_TIME;
}

auto token_cache_state::callAll(const finished_list &done) -> void
{
    for (const auto &each : done) {
        each.done(each.result);
    }
}

auto token_cache_state::groupOf(const base::organisation_id &organisation) -> group &
{
    return m_groups[base::hash64(organisation.str()) % GROUPS];
}

auto token_cache_state::size() const -> std::size_t
{
    std::size_t total = 0;
    for (const auto &target : m_groups) {
        const std::scoped_lock guard(target.lock);
        total += target.entries.size();
    }
    return total;
}

} // namespace hawthornpick::limits
