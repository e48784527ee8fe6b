#pragma once

#include "caller/hooks.h"
#include "upstream/exchange.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace hawthornpick::caller {

//! Use of the idempotency record by one request: claims the record before the first attempt,
//! replaces the attempt in it for each retry, and stores the response or frees the key at the end.
//! Thread safety: the thread of the request.
class idempotency_session
{
public:
    template <typename T>
    using task = boost::asio::awaitable<T>;

    //! Larger response bodies are not stored for replays.
    static constexpr std::size_t MAX_STORED_RESPONSE_BYTES = 16UL * 1024;

    //! Precondition: `hooks` outlives the session.
    idempotency_session(const idempotency_hooks &hooks, std::string key,
                        base::milliseconds recordLifetime);

    //! Claims the record for the first attempt, or replaces the attempt in it by a retry.
    //! Precondition: previous attempts were proved not to have started.
    //! Returns nothing if the attempt may be sent, the stored response of an earlier request, or an
    //! error of the `Idempotency...` kinds or `OutcomeUnknown`.
    auto claimForAttempt(const upstream::attempt_request &request, const chosen_node &chosen)
            -> task<std::optional<idempotency_claim>>;

    //! Record the start and later parts of the response for storage.
    auto recordStart(const upstream::answer_start &start) -> void;
    auto recordData(std::string_view part) -> void;

    //! Stores the recorded response, so that a repeat gets it. Precondition: it is complete.
    auto complete() -> task<void>;

    //! Frees the key. Precondition: the request is proved not to have run.
    auto release() -> void;

private:
    const idempotency_hooks &m_hooks;
    std::string m_key;
    base::milliseconds m_recordLifetime;
    std::optional<std::uint64_t> m_claim;
    idempotency_request m_request;
    upstream::answer_start m_response;
};

//! Decodes a response that `idempotency_session` stored; nothing if it cannot be decoded.
//! Thread safety: pure.
auto decodeStoredResponse(std::string_view bytes) -> std::optional<upstream::answer_start>;

} // namespace hawthornpick::caller
