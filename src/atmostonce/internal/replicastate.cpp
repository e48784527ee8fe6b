#include "atmostonce/internal/replicastate.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::atmostonce {

namespace {

// Retention of a promise without a record; far longer than any message of its client is in flight.
constexpr base::duration PROMISE_RETENTION = std::chrono::minutes(2);
constexpr std::size_t MAX_EXPIRY_CHECKS_PER_TICK = 500;
// Larger answers are fetched separately, so that most promises fit into one datagram.
constexpr std::size_t MAX_INLINE_ANSWER_BYTES = 500;

} // namespace

replica_state::replica_state(replica_settings settings) : m_settings(std::move(settings))
{
    m_newestIncarnations[m_settings.node.str()] = static_cast<std::int64_t>(m_settings.incarnation);
    for (const auto &replica : m_settings.replicas) {
        if (replica != m_settings.node) {
            m_copySources[replica] = {};
        }
    }
    m_recovering = !m_copySources.empty();
}

auto replica_state::receive(const base::node_id &from, std::string_view payload,
                            base::time_point now) -> messages
{
    const auto request = base::decodeThrift<message>(payload);
    if (!request) {
        return {};
    }
    std::optional<message> answer;
    switch (kindOf(*request)) {
    case message_kind::Prepare:
        answer = prepare(*request, now);
        break;
    case message_kind::Accept:
        answer = accept(*request, now);
        break;
    case message_kind::Fetch:
        answer = fetch(*request, now);
        break;
    case message_kind::CopyRequest:
        answer = makeCopyPage(from, *request, now);
        break;
    case message_kind::CopyPage:
    case message_kind::Recovering:
        return applyPage(from, *request, now);
    default:
        return {};
    }
    if (!answer) {
        return {};
    }
    return {{from, base::channel::Idempotency, base::encodeThrift(*answer)}};
}

auto replica_state::tick(base::time_point now) -> messages
{
    if (m_recovering) {
        return tickRecovery(now);
    }
    removeExpired(now);
    return {};
}

auto replica_state::prepare(const message &request, base::time_point now) -> std::optional<message>
{
    if (m_recovering) {
        return std::nullopt;
    }
    auto *stored = findLive(request.key, now);
    if (stored == nullptr) {
        if (m_records.size() >= m_settings.maxRecords) {
            return reply(request, message_kind::Full);
        }
        stored = &m_records[request.key];
    }
    if (isLowerBallot(request.number, stored->promised)) {
        auto rejected = reply(request, message_kind::Rejected);
        rejected.__set_accepted(stored->promised);
        return rejected;
    }
    stored->promised = request.number;
    stored->expires = std::max(stored->expires, now + PROMISE_RETENTION);
    auto promise = reply(request, message_kind::Promise);
    promise.__set_accepted(stored->accepted);
    promise.__set_value(stored->value);
    promise.__set_age_ms(base::toMilliseconds(now - stored->acceptedAt));
    if (phaseOf(promise.value) == record_phase::Completed
        && promise.value.answer.size() > MAX_INLINE_ANSWER_BYTES) {
        promise.value.answer.clear();
        setPhase(promise.value, record_phase::AnswerWithheld);
    }
    return promise;
}

auto replica_state::accept(const message &request, base::time_point now) -> std::optional<message>
{
    if (m_recovering) {
        return std::nullopt;
    }
    auto *stored = findLive(request.key, now);
    if (stored == nullptr || stored->promised != request.number) {
        auto rejected = reply(request, message_kind::Rejected);
        rejected.__set_accepted(stored == nullptr ? wire::ballot{} : stored->promised);
        return rejected;
    }
    if (stored->accepted != request.number) {
        storeAccepted(*stored, request.number, request.value, now);
    }
    return reply(request, message_kind::Accepted);
}

auto replica_state::fetch(const message &request, base::time_point now) -> std::optional<message>
{
    const auto *stored = m_recovering ? nullptr : findLive(request.key, now);
    if (stored == nullptr) {
        return std::nullopt;
    }
    auto fetched = reply(request, message_kind::Fetched);
    fetched.__set_value(stored->value);
    return fetched;
}

auto replica_state::findLive(const std::string &key, base::time_point now) -> stored_record *
{
    const auto found = m_records.find(key);
    if (found == m_records.end()) {
        return nullptr;
    }
    if (now >= found->second.expires) {
        erase(found);
        return nullptr;
    }
    return &found->second;
}

auto replica_state::erase(record_map::iterator stored) -> record_map::iterator
{
    m_totalAnswerBytes -= stored->second.value.answer.size();
    return m_records.erase(stored);
}

auto replica_state::storeAccepted(stored_record &stored, const wire::ballot &ballot,
                                  const wire::record &value, base::time_point now) -> void
{
    m_totalAnswerBytes -= stored.value.answer.size();
    stored.accepted = ballot;
    stored.value = value;
    if (m_totalAnswerBytes + value.answer.size() > m_settings.maxTotalAnswerBytes) {
        stored.value.answer.clear();
        setPhase(stored.value, record_phase::CompletedWithoutAnswer);
    }
    m_totalAnswerBytes += stored.value.answer.size();
    stored.acceptedAt = now;
    stored.expires = std::max(stored.expires, now + base::milliseconds(value.life_ms));
}

auto replica_state::reply(const message &request, message_kind kind) const -> message
{
    message answer;
    answer.kind = static_cast<std::int8_t>(kind);
    answer.number = request.number;
    answer.__set_incarnations(m_newestIncarnations);
    if (kind == message_kind::CopyPage || kind == message_kind::Recovering) {
        answer.__set_region(m_settings.region.str());
    }
    return answer;
}

auto replica_state::removeExpired(base::time_point now) -> void
{
    auto stored = m_records.lower_bound(m_expiryCursor);
    for (std::size_t i = 0; i < MAX_EXPIRY_CHECKS_PER_TICK && stored != m_records.end(); ++i) {
        stored = now >= stored->second.expires ? erase(stored) : std::next(stored);
    }
    m_expiryCursor = stored == m_records.end() ? std::string{} : stored->first;
}

} // namespace hawthornpick::atmostonce
