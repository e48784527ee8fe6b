#pragma once

#include "caller/hooks.h"
#include "upstream/exchange.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace hawthornpick::caller {

//! Idempotency record around the attempts of one request: claims it before the first attempt, names
//! later attempts in it, and stores the answer or frees the key at the end.
//! Thread safety of all members: the thread of the request.
class idempotent_run
{
public:
    template <typename T>
    using task = boost::asio::awaitable<T>;

    //! Largest answer that is kept for repeats.
    static constexpr std::size_t MAX_ANSWER_BYTES = 16UL * 1024;

    //! Precondition: `hooks` outlives the run.
    idempotent_run(const idempotency_hooks &hooks, std::string key, base::milliseconds recordLife);

    //! Claims the record for the first attempt or names the next one in it.
    //! Precondition: an attempt before was proved not to have started.
    //! Returns nothing if the attempt may be sent, the stored answer of an earlier request, or an
    //! error of the kinds `Idempotency...` and `OutcomeUnknown`.
    auto prepareAttempt(const upstream::attempt_request &request, const chosen_node &chosen)
            -> task<std::optional<idempotency_claim>>;

    //! Records parts of the answer as they are sent to the caller.
    auto keepStart(const upstream::answer_start &start) -> void;
    auto keepData(std::string_view part) -> void;

    //! The request ended with a complete answer.
    auto complete() -> void;

    //! The request ended and is proved not to have run.
    auto release() -> void;

private:
    const idempotency_hooks &m_hooks;
    std::string m_key;
    base::milliseconds m_recordLife;
    std::optional<std::uint64_t> m_claim;
    idempotency_request m_request;
    upstream::answer_start m_answer;
};

//! Restores an answer that `idempotent_run` stored; nothing if it is damaged. Thread safety: pure.
auto decodeStoredAnswer(std::string_view bytes) -> std::optional<upstream::answer_start>;

} // namespace hawthornpick::caller
