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

//! Runs a task on the control thread and sends the messages that it returns; has the shape of
//! `peer::control_runtime::post`.
using post_function = std::function<void(std::function<messages(base::time_point now)>)>;

//! Returns the nodes that may be the allocator of `organisation` in the entry node's region, best
//! first. Called on the control thread.
using candidates_function =
        std::function<std::vector<base::node_id>(const base::organisation_id &organisation)>;

enum class admission : std::uint8_t {
    Admitted,
    RateExceeded,
    RateUnavailable,
};

//! Answer to a request for one token.
struct admission_result
{
    admission verdict = admission::RateUnavailable;
    //! When a repeat may succeed, for Retry-After; 0 after `Admitted`.
    base::milliseconds retryAfter{0};

    auto operator<=>(const admission_result &) const = default;
};

class token_cache_state;

//! Tokens that this entry node has borrowed from the allocators of its region.
class token_cache
{
public:
    using callback = std::function<void(admission_result)>;

    //! `session` is random and different for each start of the process.
    token_cache(std::uint64_t session, candidates_function candidates, post_function post);
    ~token_cache();
    token_cache(const token_cache &) = delete;
    auto operator=(const token_cache &) -> token_cache & = delete;

    //! Takes one token. Returns the answer if it is known at once; `done` is then not called.
    //! Otherwise `done` is called exactly once, within `ASK_LIMIT` plus one tick, on the control
    //! thread. `now` must be read immediately before the call, so that a process that was paused
    //! doesn't use an expired grant. Thread safety: any thread; one short lock for each group of
    //! organisations.
    auto take(const base::organisation_id &organisation, base::time_point now, callback done)
            -> std::optional<admission_result>;

    //! Thread safety of the following: control thread.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Number of organisations with state. Thread safety: any thread.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    std::shared_ptr<token_cache_state> m_state;
};

} // namespace hawthornpick::limits
