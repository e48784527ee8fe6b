#include "caller/internal/idempotentrun.h"

#include "upstream/wirecodec.h"

namespace hawthornpick::caller {

namespace asio = boost::asio;

idempotent_run::idempotent_run(const idempotency_hooks &hooks, std::string key,
                               base::milliseconds recordLife)
    : m_hooks(hooks), m_key(std::move(key)), m_recordLife(recordLife)
{}

auto idempotent_run::prepareAttempt(const upstream::attempt_request &request,
                                    const chosen_node &chosen)
        -> asio::awaitable<std::optional<idempotency_claim>>
{
    using claim_result = std::optional<idempotency_claim>;
    m_request = {request.organisation, m_key,           request.fingerprint,
                 m_recordLife,         request.attempt, chosen};
    if (m_claim) {
        const bool renewed = co_await m_hooks.renew(m_request, *m_claim);
        co_return renewed ? claim_result()
                          : claim_result(base::error{base::error_kind::IdempotencyUnavailable, {}});
    }
    if (!m_hooks.claim) {
        co_return claim_result(base::error{base::error_kind::IdempotencyUnavailable, {}});
    }
    auto claim = co_await m_hooks.claim(m_request);
    if (const auto *held = std::get_if<idempotency_held>(&claim)) {
        m_claim = held->claim;
        co_return claim_result();
    }
    co_return claim_result(std::move(claim));
}

auto idempotent_run::keepStart(const upstream::answer_start &start) -> void
{
    m_answer = start;
}

auto idempotent_run::keepData(std::string_view part) -> void
{
    // One byte above the limit is enough to tell the record that the answer is too large.
    if (m_answer.body.size() <= MAX_ANSWER_BYTES) {
        m_answer.body.append(part);
    }
}

auto idempotent_run::complete() -> void
{
    if (!m_claim) {
        return;
    }
    m_answer.bodyComplete = true;
    m_answer.contentLength = m_answer.body.size();
    m_hooks.complete(m_request, *m_claim, upstream::encodeOpening({{}, m_answer, {}}));
}

auto idempotent_run::release() -> void
{
    if (m_claim) {
        m_hooks.release(m_request, *m_claim);
    }
}

auto decodeStoredAnswer(std::string_view bytes) -> std::optional<upstream::answer_start>
{
    auto opening = upstream::decodeOpening(bytes);
    if (!opening || opening->refusal) {
        return std::nullopt;
    }
    return std::move(opening->start);
}

} // namespace hawthornpick::caller
