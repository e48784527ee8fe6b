#include "caller/internal/idempotencysession.h"

#include "upstream/wirecodec.h"

namespace hawthornpick::caller {

namespace asio = boost::asio;

idempotency_session::idempotency_session(const idempotency_hooks &hooks, std::string key,
                                         base::milliseconds recordLifetime)
    : m_hooks(hooks), m_key(std::move(key)), m_recordLifetime(recordLifetime)
{}

auto idempotency_session::claimForAttempt(const upstream::attempt_request &request,
                                          const chosen_node &chosen)
        -> asio::awaitable<std::optional<idempotency_claim>>
{
    using optional_claim = std::optional<idempotency_claim>;
    m_request = {request.organisation, m_key,           request.fingerprint,
                 m_recordLifetime,     request.attempt, chosen};
    if (m_claim) {
        const bool renewed = co_await m_hooks.renew(m_request, *m_claim);
        co_return renewed
                ? optional_claim()
                : optional_claim(base::error{base::error_kind::IdempotencyUnavailable, {}});
    }
    if (!m_hooks.claim) {
        co_return optional_claim(base::error{base::error_kind::IdempotencyUnavailable, {}});
    }
    auto claim = co_await m_hooks.claim(m_request);
    if (const auto *held = std::get_if<idempotency_held>(&claim)) {
        m_claim = held->claim;
        co_return optional_claim();
    }
    co_return optional_claim(std::move(claim));
}

auto idempotency_session::recordStart(const upstream::answer_start &start) -> void
{
    m_response = start;
}

auto idempotency_session::recordData(std::string_view part) -> void
{
    // A part that exceeds the limit is still added, so that the record sees that the response is
    // too large to be stored; later parts are dropped.
    if (m_response.body.size() <= MAX_STORED_RESPONSE_BYTES) {
        m_response.body.append(part);
    }
}

auto idempotency_session::complete() -> asio::awaitable<void>
{
    if (!m_claim) {
        co_return;
    }
    m_response.bodyComplete = true;
    m_response.contentLength = m_response.body.size();
    auto encoded = upstream::encodeOpening({{}, m_response, {}});
    (void)co_await m_hooks.complete(m_request, *m_claim, std::move(encoded));
}

auto idempotency_session::release() -> void
{
    if (m_claim) {
        m_hooks.release(m_request, *m_claim);
    }
}

auto decodeStoredResponse(std::string_view bytes) -> std::optional<upstream::answer_start>
{
    auto opening = upstream::decodeOpening(bytes);
    if (!opening || opening->refusal) {
        return std::nullopt;
    }
    return std::move(opening->start);
}

} // namespace hawthornpick::caller
