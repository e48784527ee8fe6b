#pragma once

#include "config/snapshot.h"
#include "peer/link.h"
#include "upstream/exchange.h"
#include "upstream/hooks.h"
#include "upstream/registry.h"
#include "upstream/wireprofile.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace hawthornpick::upstream {

//! What differs between deployments on the executing side.
struct executor_rules
{
    //! False if the entry node's check of key and route is enough, because nodes may serve with
    //! different versions for some seconds.
    bool checksKeys = true;
    //! Sends an idempotent request again that was lost on a kept connection. False if the entry
    //! node accounts for all repeats.
    bool repeatsLostRequests = true;

    auto operator<=>(const executor_rules &) const = default;
};

//! What the executing side of a node needs. Referenced objects outlive the executor.
struct executor_dependencies
{
    base::incarnation nodeIncarnation = 0;
    const config::snapshot_cell &configuration;
    const table_cell &upstreams;
    executor_hooks hooks;
    wire_profile wire = {};
    executor_rules rules = {};
};

class executor_state;

//! Executing side of requests on one I/O thread: checks, queue, slot, attempt, upstream. Serves
//! streams of other nodes and, without a link, requests whose entry node is this node.
//! Thread safety of all members: the thread of the io_context.
class executor
{
public:
    //! Precondition: `context` is run by one thread and outlives the executor.
    executor(boost::asio::io_context &context, executor_dependencies dependencies);
    ~executor();
    executor(const executor &) = delete;
    auto operator=(const executor &) -> executor & = delete;

    //! Runs one attempt. `source` is used if `request.bodyComplete` is false.
    //! Precondition: the arguments outlive the returned coroutine.
    auto run(const attempt_request &request, const body_source &source, const answer_sink &sink,
             cancellation &cancel) -> boost::asio::awaitable<attempt_result>;

    //! Serves a stream that another node opened.
    auto serve(peer::stream_pointer incoming) -> void;

    //! Refuses new streams of other nodes with `ShuttingDown`; requests under way go on.
    auto drain() -> void;

    //! Thread safety: any thread.
    auto context() -> boost::asio::io_context &;

    //! Number of streams of other nodes and of local requests under way.
    [[nodiscard]] auto activeCount() const -> std::size_t;

    //! Number of idle connections to upstreams.
    [[nodiscard]] auto idleConnectionCount() const -> std::size_t;

    //! Closes idle connections and stops the timer that looks after them.
    auto stop() -> void;

private:
    std::shared_ptr<executor_state> m_state;
};

} // namespace hawthornpick::upstream
