#include "atmostonce/idempotencyclient.h"

#include "atmostonce/internal/recordoperation.h"
#include "base/digest.h"
#include "base/thriftcodec.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::atmostonce {

namespace {

constexpr base::duration FENCE_TIMEOUT = std::chrono::milliseconds(600);

auto makeClaimedRecord(const claim_request &request, std::uint64_t claim) -> wire::record
{
    wire::record record;
    setPhase(record, record_phase::Claimed);
    record.digest = base::toBytes(request.digest);
    record.claim = static_cast<std::int64_t>(claim);
    record.life_ms = request.recordLife.count();
    setPlace(record, request.place);
    return record;
}

auto isHeldByClaim(const wire::record &record, std::uint64_t claim) -> bool
{
    return phaseOf(record) == record_phase::Claimed
           && record.claim == static_cast<std::int64_t>(claim);
}

// Returns the result of a claim that found the record of another claim.
auto resultForExistingRecord(const observed_record &observed, const claim_request &request)
        -> claim_result
{
    const auto &record = observed.value;
    if (record.digest != base::toBytes(request.digest)) {
        return claim_mismatch{};
    }
    switch (phaseOf(record)) {
    case record_phase::Completed:
        return claim_completed{record.status, record.answer};
    case record_phase::Claimed:
        if (observed.age < idempotency_client::MAX_IN_PROGRESS_AGE) {
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
    const auto home = std::max_element(
            replicas.begin(), replicas.end(), [&](const auto &left, const auto &right) {
                return base::rendezvousWeight(organisation.str(), left.first.str())
                       < base::rendezvousWeight(organisation.str(), right.first.str());
            });
    return home->first;
}

idempotency_client::idempotency_client(replica_map replicas, fence_client &fenceClient,
                                       base::random_source random, post_function post)
    : m_replicas(std::move(replicas)), m_fenceClient(fenceClient), m_random(random),
      m_post(std::move(post))
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
        task->deadline = now + CLAIM_TIMEOUT;
        return startClaim(std::move(task), now);
    });
}

auto idempotency_client::startClaim(claim_pointer task, base::time_point now) -> messages
{
    auto update = [task](const observed_record &observed) -> std::optional<wire::record> {
        const auto phase = phaseOf(observed.value);
        const bool previousAttemptFenced = phase == record_phase::Claimed && task->fencedPlace
                                           && placeOf(observed.value) == *task->fencedPlace;
        if (phase == record_phase::Empty || previousAttemptFenced
            || isHeldByClaim(observed.value, task->claim)) {
            return makeClaimedRecord(task->request, task->claim);
        }
        return std::nullopt;
    };
    auto onFinished = [this, task](operation_outcome outcome, const observed_record &observed) {
        finishClaim(task, outcome, observed);
    };
    return startOperation(task->request.key, std::move(update), std::move(onFinished),
                          task->deadline, now);
}

auto idempotency_client::finishClaim(const claim_pointer &task, operation_outcome outcome,
                                     const observed_record &observed) -> void
{
    if (outcome == operation_outcome::Stored) {
        task->done(claim_held{task->claim});
        return;
    }
    if (outcome == operation_outcome::Failed) {
        // A minority of replicas may have stored the claim; without a release it would block
        // repeats.
        release(task->request.key, task->claim, [](bool) {});
        task->done(claim_unavailable{});
        return;
    }
    const auto result = resultForExistingRecord(observed, task->request);
    const bool claimed = phaseOf(observed.value) == record_phase::Claimed
                         && !std::holds_alternative<claim_mismatch>(result);
    const bool mayFence =
            observed.age >= MIN_FENCE_AGE && observed.age < MAX_FENCE_AGE && !task->fencedPlace;
    if (!claimed || !mayFence) {
        task->done(result);
        return;
    }
    fenceAndRetry(task, placeOf(observed.value), result);
}

auto idempotency_client::fenceAndRetry(const claim_pointer &task, const attempt_place &place,
                                       const claim_result &resultIfNotFenced) -> void
{
    m_fenceClient.ask(place, FENCE_TIMEOUT,
                      [this, task, place, resultIfNotFenced](fence_answer answer) {
                          if (answer != fence_answer::NotStarted) {
                              task->done(resultIfNotFenced);
                              return;
                          }
                          task->fencedPlace = place;
                          m_post([this, task](base::time_point now) {
                              task->deadline = now + CLAIM_TIMEOUT;
                              return startClaim(task, now);
                          });
                      });
}

auto idempotency_client::renew(record_key key, std::uint64_t claim, attempt_place next,
                               done_callback done) -> void
{
    updateRecord(
            std::move(key),
            [claim, next = std::move(next)](
                    const observed_record &observed) -> std::optional<wire::record> {
                if (!isHeldByClaim(observed.value, claim)) {
                    return std::nullopt;
                }
                auto record = observed.value;
                setPlace(record, next);
                return record;
            },
            CLAIM_TIMEOUT, std::move(done));
}

auto idempotency_client::complete(record_key key, std::uint64_t claim, std::int32_t status,
                                  std::string answer, done_callback done) -> void
{
    updateRecord(
            std::move(key),
            [claim, status, answer = std::move(answer)](
                    const observed_record &observed) -> std::optional<wire::record> {
                const bool sameClaim = observed.value.claim == static_cast<std::int64_t>(claim);
                if (!sameClaim || phaseOf(observed.value) == record_phase::Empty) {
                    return std::nullopt;
                }
                auto record = observed.value;
                const bool answerFits = answer.size() <= MAX_ANSWER_BYTES;
                setPhase(record, answerFits ? record_phase::Completed
                                            : record_phase::CompletedWithoutAnswer);
                record.status = status;
                record.answer = answerFits ? answer : std::string{};
                return record;
            },
            STORE_TIMEOUT, std::move(done));
}

auto idempotency_client::release(record_key key, std::uint64_t claim, done_callback done) -> void
{
    updateRecord(
            std::move(key),
            [claim](const observed_record &observed) -> std::optional<wire::record> {
                if (!isHeldByClaim(observed.value, claim)) {
                    return std::nullopt;
                }
                auto record = wire::record{};
                record.life_ms = observed.value.life_ms;
                return record;
            },
            STORE_TIMEOUT, std::move(done));
}

auto idempotency_client::updateRecord(record_key key, update_function update,
                                      base::duration timeout, done_callback done) -> void
{
    m_post([this, key = std::move(key), update = std::move(update), timeout,
            done = std::move(done)](base::time_point now) {
        auto onFinished = [done](operation_outcome outcome, const observed_record &) {
            done(outcome == operation_outcome::Stored);
        };
        return startOperation(key, update, std::move(onFinished), now + timeout, now);
    });
}

auto idempotency_client::startOperation(const record_key &key, update_function update,
                                        completion_function onFinished, base::time_point deadline,
                                        base::time_point now) -> messages
{
    const auto &region = homeRegion(m_replicas, key.organisation);
    const auto proposer = m_random.bits();
    auto operation = std::make_shared<record_operation>(
            storageKey(key), region.str(), m_replicas.at(region), std::move(update),
            std::move(onFinished), deadline, static_cast<std::int64_t>(proposer),
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
    // The callback may start further operations and thereby modify `m_operations`.
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
    const auto operations = m_operations;
    for (const auto &[proposer, operation] : operations) {
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
