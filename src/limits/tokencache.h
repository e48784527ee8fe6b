#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace hawthornpick::limits {

using messages = std::vector<base::outgoing_message>;

//! Runs a task on the control thread and sends the messages that it returns. Compatible with
//! `peer::control_runtime::post`.
using post_function = std::function<void(std::function<messages(base::time_point now)>)>;

//! Returns the nodes that may be the allocator of `organisation` in the region of the entry node,
//! most likely first. Called on the control thread.
using candidates_function =
        std::function<std::vector<base::node_id>(const base::organisation_id &organisation)>;

enum class admission : std::uint8_t {
    Admitted,
    RateExceeded,
    RateUnavailable,
};

//! Result of taking one token.
struct admission_result
{
    admission verdict = admission::RateUnavailable;
    //! Time after which a retry may succeed, for the header Retry-After; 0 with `Admitted`.
    base::milliseconds retryAfter{0};

    auto operator<=>(const admission_result &) const = default;
};

class token_cache_state;

//! Tokens that the allocators of the region have granted to this entry node.
class token_cache
{
public:
    using callback = std::function<void(admission_result)>;

    //! `session` is a random number that differs for each start of the process. Sequence numbers of
    //! token requests start from it, so that answers to an earlier process are ignored.
    token_cache(std::uint64_t session, candidates_function candidates, post_function post);
    ~token_cache();
    token_cache(const token_cache &) = delete;
    auto operator=(const token_cache &) -> token_cache & = delete;

    //! Takes one token. Returns the result if it is known immediately; `done` is then not called.
    //! Otherwise `done` is called exactly once on the control thread, within 400 ms plus one tick.
    //! `now` must be read immediately before the call, so that a process that was paused doesn't
    //! use an expired grant.
    //! Thread safety: any thread; briefly holds the lock of one stripe of organisations.
    auto take(const base::organisation_id &organisation, base::time_point now, callback done)
            -> std::optional<admission_result>;

    //! Thread safety of the following: control thread.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Returns the number of organisations with state. Thread safety: any thread.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    std::shared_ptr<token_cache_state> m_state;
};

} // namespace hawthornpick::limits
