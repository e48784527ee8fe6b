#pragma once

#include "atmostonce/attemptregistry.h"
#include "base/message.h"
#include "base/time.h"

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace hawthornpick::atmostonce {

using messages = std::vector<base::outgoing_message>;

//! Runs a task on the control thread and sends the messages that it returns; has the shape of
//! `peer::control_runtime::post`.
using post_function = std::function<void(std::function<messages(base::time_point now)>)>;

//! One attempt and the node that it was sent to.
struct attempt_place
{
    base::attempt_id attempt;
    base::node_id node;
    //! Incarnation of the node that the request named.
    base::incarnation incarnation = 0;

    auto operator<=>(const attempt_place &) const = default;
};

//! Asks executing nodes to fence attempts; asks again until an answer or a limit.
class fence_client
{
public:
    using callback = std::function<void(fence_answer)>;

    static constexpr base::duration RETRY_INTERVAL = std::chrono::milliseconds(100);
    static constexpr base::duration DEFAULT_LIMIT = std::chrono::seconds(2);

    explicit fence_client(post_function post);

    //! Fences an attempt. `done` is called exactly once on the control thread, with `Unknown` if
    //! no answer came within `limit`. Thread safety: any thread.
    auto ask(attempt_place place, base::duration limit, callback done) -> void;

    //! Thread safety of the following: control thread.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

private:
    struct pending
    {
        base::time_point end;
        base::time_point lastSent;
        std::vector<callback> done;
    };

    auto begin(const attempt_place &place, base::duration limit, callback done,
               base::time_point now) -> messages;

    post_function m_post;
    std::map<attempt_place, pending> m_pending;
};

//! Answers fence requests of entry nodes from the attempt registry.
class fence_server
{
public:
    //! Precondition: `registry` outlives the server.
    explicit fence_server(attempt_registry &registry);

    //! Thread safety: control thread.
    auto receive(const base::node_id &from, std::string_view payload) -> messages;

private:
    attempt_registry &m_registry;
};

} // namespace hawthornpick::atmostonce
