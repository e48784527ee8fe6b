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

//! Runs a task on the control thread and sends the messages that it returns. Has the signature of
//! `peer::control_runtime::post`.
using post_function = std::function<void(std::function<messages(base::time_point now)>)>;

//! An attempt and the node that executes it.
struct attempt_place
{
    base::attempt_id attempt;
    base::node_id node;
    //! Incarnation of `node` that the request was addressed to.
    base::incarnation incarnation = 0;

    auto operator<=>(const attempt_place &) const = default;
};

//! Sends fence requests to executing nodes and resends each one every `RETRY_INTERVAL` until it is
//! answered or its timeout passes.
class fence_client
{
public:
    using callback = std::function<void(fence_answer)>;

    static constexpr base::duration RETRY_INTERVAL = std::chrono::milliseconds(100);
    static constexpr base::duration DEFAULT_LIMIT = std::chrono::seconds(2);

    explicit fence_client(post_function post);

    //! Fences an attempt. Calls `done` exactly once on the control thread, with `Unknown` if no
    //! answer arrives within `timeout`. Thread safety: any thread.
    auto ask(attempt_place place, base::duration timeout, callback done) -> void;

    //! Thread safety of `receive` and `tick`: control thread.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

private:
    struct pending_fence
    {
        base::time_point deadline;
        base::time_point lastSentAt;
        std::vector<callback> callbacks;
    };

    auto sendFirstRequest(const attempt_place &place, base::duration timeout, callback done,
                          base::time_point now) -> messages;

    post_function m_post;
    std::map<attempt_place, pending_fence> m_pending;
};

//! Answers the fence requests of entry nodes from the attempt registry of the executing node.
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
