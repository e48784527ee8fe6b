#include "atmostonce/internal/replicastate.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::atmostonce {

namespace {

// A promise without a record outlives every message of its client by far.
constexpr base::duration PROMISE_LIFE = std::chrono::minutes(2);
constexpr std::size_t EXPIRY_BATCH = 500;
// Larger answers are fetched separately, so that most promises fit into a datagram.
constexpr std::size_t MAX_INLINE_ANSWER_BYTES = 500;

} // namespace

replica_state::replica_state(replica_settings settings) : m_settings(std::move(settings))
{
    m_incarnations[m_settings.node.str()] = static_cast<std::int64_t>(m_settings.incarnation);
    for (const auto &replica : m_settings.replicas) {
        if (replica != m_settings.node) {
            m_sources[replica] = {};
        }
    }
    m_recovering = !m_sources.empty();
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
        answer = servePage(from, *request, now);
        break;
    case message_kind::CopyPage:
    case message_kind::Recovering:
        return takePage(from, *request, now);
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
    expireSome(now);
    return {};
}

auto replica_state::prepare(const message &request, base::time_point now) -> std::optional<message>
{
    if (m_recovering) {
        return std::nullopt;
    }
    auto *item = live(request.key, now);
    if (item == nullptr) {
        if (m_records.size() >= m_settings.maxRecords) {
            return reply(request, message_kind::Full);
        }
        item = &m_records[request.key];
    }
    if (lower(request.number, item->promised)) {
        auto rejected = reply(request, message_kind::Rejected);
        rejected.__set_accepted(item->promised);
        return rejected;
    }
    item->promised = request.number;
    item->expires = std::max(item->expires, now + PROMISE_LIFE);
    auto promise = reply(request, message_kind::Promise);
    promise.__set_accepted(item->accepted);
    promise.__set_value(item->value);
    promise.__set_age_ms(base::toMilliseconds(now - item->acceptedAt));
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
    auto *item = live(request.key, now);
    if (item == nullptr || item->promised != request.number) {
        auto rejected = reply(request, message_kind::Rejected);
        rejected.__set_accepted(item == nullptr ? wire::ballot{} : item->promised);
        return rejected;
    }
    if (item->accepted != request.number) {
        store(*item, request.number, request.value, now);
    }
    return reply(request, message_kind::Accepted);
}

auto replica_state::fetch(const message &request, base::time_point now) -> std::optional<message>
{
    const auto *item = m_recovering ? nullptr : live(request.key, now);
    if (item == nullptr) {
        return std::nullopt;
    }
    auto fetched = reply(request, message_kind::Fetched);
    fetched.__set_value(item->value);
    return fetched;
}

auto replica_state::live(const std::string &key, base::time_point now) -> stored *
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

auto replica_state::erase(record_map::iterator item) -> record_map::iterator
{
    m_answerBytes -= item->second.value.answer.size();
    return m_records.erase(item);
}

auto replica_state::store(stored &item, const wire::ballot &number, const wire::record &value,
                          base::time_point now) -> void
{
    m_answerBytes -= item.value.answer.size();
    item.accepted = number;
    item.value = value;
    if (m_answerBytes + value.answer.size() > m_settings.maxAnswerBytes) {
        item.value.answer.clear();
        setPhase(item.value, record_phase::CompletedWithoutAnswer);
    }
    m_answerBytes += item.value.answer.size();
    item.acceptedAt = now;
    item.expires = std::max(item.expires, now + base::milliseconds(value.life_ms));
}

auto replica_state::reply(const message &request, message_kind kind) const -> message
{
    message answer;
    answer.kind = static_cast<std::int8_t>(kind);
    answer.number = request.number;
    answer.__set_incarnations(m_incarnations);
    if (kind == message_kind::CopyPage || kind == message_kind::Recovering) {
        answer.__set_region(m_settings.region.str());
    }
    return answer;
}

auto replica_state::expireSome(base::time_point now) -> void
{
    auto item = m_records.lower_bound(m_expiryCursor);
    for (std::size_t i = 0; i < EXPIRY_BATCH && item != m_records.end(); ++i) {
        item = now >= item->second.expires ? erase(item) : std::next(item);
    }
    m_expiryCursor = item == m_records.end() ? std::string{} : item->first;
}

} // namespace hawthornpick::atmostonce
