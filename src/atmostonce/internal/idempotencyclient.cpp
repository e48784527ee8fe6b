#include "atmostonce/idempotencyclient.h"

#include "atmostonce/internal/recordoperation.h"
#include "base/digest.h"
#include "base/thriftcodec.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::atmostonce {

namespace {

constexpr base::duration FENCE_LIMIT = std::chrono::milliseconds(600);

auto claimedRecord(const claim_request &request, std::uint64_t claim) -> wire::record
{
    wire::record record;
    setPhase(record, record_phase::Claimed);
    record.digest = base::toBytes(request.digest);
    record.claim = static_cast<std::int64_t>(claim);
    record.life_ms = request.recordLife.count();
    setPlace(record, request.place);
    return record;
}

auto ownedBy(const wire::record &record, std::uint64_t claim) -> bool
{
    return phaseOf(record) == record_phase::Claimed
           && record.claim == static_cast<std::int64_t>(claim);
}

// Result of a claim that found the record of another one.
auto resultOf(const seen_record &seen, const claim_request &request) -> claim_result
{
    const auto &record = seen.value;
    if (record.digest != base::toBytes(request.digest)) {
        return claim_mismatch{};
    }
    switch (phaseOf(record)) {
    case record_phase::Completed:
        return claim_completed{record.status, record.answer};
    case record_phase::Claimed:
        if (seen.age < idempotency_client::IN_PROGRESS_LIMIT) {
            return claim_in_progress{};
        }
        return claim_unknown{};
    default:
        return claim_unknown{};
    }
}

} // namespace

auto homeRegion(const replica_map &replicas, const base::organisation_id &organisation)
        -> const base::region_id &
{
    const auto best = std::max_element(
            replicas.begin(), replicas.end(), [&](const auto &left, const auto &right) {
                return base::rendezvousWeight(organisation.str(), left.first.str())
                       < base::rendezvousWeight(organisation.str(), right.first.str());
            });
    return best->first;
}

idempotency_client::idempotency_client(replica_map replicas, fence_client &fences,
                                       base::random_source random, post_function post)
    : m_replicas(std::move(replicas)), m_fences(fences), m_random(random), m_post(std::move(post))
{}

idempotency_client::~idempotency_client() = default;

auto idempotency_client::claim(claim_request request, claim_callback done) -> void
{
    m_post([this, request = std::move(request),
            done = std::move(done)](base::time_point now) mutable {
        auto task = std::make_shared<claim_task>();
        task->request = std::move(request);
        task->done = std::move(done);
        task->claim = m_random.bits();
        task->end = now + CLAIM_LIMIT;
        return beginClaim(std::move(task), now);
    });
}

auto idempotency_client::beginClaim(claim_pointer task, base::time_point now) -> messages
{
    auto change = [task](const seen_record &seen) -> std::optional<wire::record> {
        const auto phase = phaseOf(seen.value);
        const bool proven = phase == record_phase::Claimed && task->notStarted
                            && placeOf(seen.value) == *task->notStarted;
        if (phase == record_phase::Empty || proven || ownedBy(seen.value, task->claim)) {
            return claimedRecord(task->request, task->claim);
        }
        return std::nullopt;
    };
    auto ended = [this, task](operation_end end, const seen_record &seen) {
        endClaim(task, end, seen);
    };
    return begin(task->request.key, std::move(change), std::move(ended), task->end, now);
}

auto idempotency_client::endClaim(const claim_pointer &task, operation_end end,
                                  const seen_record &seen) -> void
{
    if (end == operation_end::Stored) {
        task->done(claim_held{task->claim});
        return;
    }
    if (end == operation_end::Failed) {
        // Some replicas may hold the claim; it is given free so that a repeat can run.
        release(task->request.key, task->claim, [](bool) {});
        task->done(claim_unavailable{});
        return;
    }
    const auto result = resultOf(seen, task->request);
    const bool running = phaseOf(seen.value) == record_phase::Claimed
                         && !std::holds_alternative<claim_mismatch>(result);
    const bool mayFence = seen.age >= FENCE_AFTER && seen.age < FENCE_BEFORE && !task->notStarted;
    if (!running || !mayFence) {
        task->done(result);
        return;
    }
    fenceAndRepeat(task, placeOf(seen.value), result);
}

auto idempotency_client::fenceAndRepeat(const claim_pointer &task, const attempt_place &place,
                                        const claim_result &otherwise) -> void
{
    m_fences.ask(place, FENCE_LIMIT, [this, task, place, otherwise](fence_answer answer) {
        if (answer != fence_answer::NotStarted) {
            task->done(otherwise);
            return;
        }
        task->notStarted = place;
        m_post([this, task](base::time_point now) {
            task->end = now + CLAIM_LIMIT;
            return beginClaim(task, now);
        });
    });
}

auto idempotency_client::renew(record_key key, std::uint64_t claim, attempt_place next,
                               done_callback done) -> void
{
    update(
            std::move(key),
            [claim,
             next = std::move(next)](const seen_record &seen) -> std::optional<wire::record> {
                if (!ownedBy(seen.value, claim)) {
                    return std::nullopt;
                }
                auto record = seen.value;
                setPlace(record, next);
                return record;
            },
            CLAIM_LIMIT, std::move(done));
}

auto idempotency_client::complete(record_key key, std::uint64_t claim, std::int32_t status,
                                  std::string answer, done_callback done) -> void
{
    update(
            std::move(key),
            [claim, status,
             answer = std::move(answer)](const seen_record &seen) -> std::optional<wire::record> {
                const bool mine = seen.value.claim == static_cast<std::int64_t>(claim);
                if (!mine || phaseOf(seen.value) == record_phase::Empty) {
                    return std::nullopt;
                }
                auto record = seen.value;
                const bool fits = answer.size() <= MAX_ANSWER_BYTES;
                setPhase(record,
                         fits ? record_phase::Completed : record_phase::CompletedWithoutAnswer);
                record.status = status;
                record.answer = fits ? answer : std::string{};
                return record;
            },
            STORE_LIMIT, std::move(done));
}

auto idempotency_client::release(record_key key, std::uint64_t claim, done_callback done) -> void
{
    update(
            std::move(key),
            [claim](const seen_record &seen) -> std::optional<wire::record> {
                if (!ownedBy(seen.value, claim)) {
                    return std::nullopt;
                }
                auto record = wire::record{};
                record.life_ms = seen.value.life_ms;
                return record;
            },
            STORE_LIMIT, std::move(done));
}

auto idempotency_client::update(record_key key, change_function change, base::duration limit,
                                done_callback done) -> void
{
    m_post([this, key = std::move(key), change = std::move(change), limit,
            done = std::move(done)](base::time_point now) {
        auto ended = [done](operation_end end, const seen_record &) {
            done(end == operation_end::Stored);
        };
        return begin(key, change, std::move(ended), now + limit, now);
    });
}

auto idempotency_client::begin(const record_key &key, change_function change, end_function ended,
                               base::time_point end, base::time_point now) -> messages
{
    const auto &region = homeRegion(m_replicas, key.organisation);
    const auto proposer = m_random.bits();
    auto operation = std::make_shared<record_operation>(
            storageKey(key), region.str(), m_replicas.at(region), std::move(change),
            std::move(ended), end, static_cast<std::int64_t>(proposer),
            base::random_source(m_random.bits()));
    m_operations.emplace(proposer, operation);
    return operation->start(now);
}

auto idempotency_client::receive(const base::node_id &from, std::string_view payload,
                                 base::time_point now) -> messages
{
    const auto message = base::decodeThrift<wire::idempotency_message>(payload);
    if (!message) {
        return {};
    }
    const auto found = m_operations.find(static_cast<std::uint64_t>(message->number.proposer));
    if (found == m_operations.end()) {
        return {};
    }
    // The callback may start further operations.
    const auto operation = found->second;
    auto out = operation->receive(from, *message, now);
    if (operation->finished()) {
        m_operations.erase(static_cast<std::uint64_t>(message->number.proposer));
    }
    return out;
}

auto idempotency_client::tick(base::time_point now) -> messages
{
    messages out;
    const auto present = m_operations;
    for (const auto &[proposer, operation] : present) {
        auto more = operation->tick(now);
        out.insert(out.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
        if (operation->finished()) {
            m_operations.erase(proposer);
        }
    }
    return out;
}

} // namespace hawthornpick::atmostonce
