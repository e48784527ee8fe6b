#pragma once

#include "config/snapshot.h"
#include "peer/link.h"
#include "upstream/exchange.h"
#include "upstream/hooks.h"
#include "upstream/registry.h"
#include "upstream/startgates.h"
#include "upstream/wireprofile.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace hawthornpick::upstream {

//! Options of the executing side that depend on the deployment.
struct executor_options
{
    //! Checks the API key and the route again on the executing node. False where the entry node's
    //! check suffices because nodes may use different configuration versions for some seconds.
    bool checksKeyAndRoute = true;
    //! Retries an idempotent request that was lost on a reused connection. False where the entry
    //! node has to count all retries.
    bool retriesLostRequests = true;
    //! Ratio by which the rate of a cold upstream may exceed the rate of its service.
    double coldOverage = 1.0;

    auto operator<=>(const executor_options &) const = default;
};

//! Dependencies of the executing side of a node. Referenced objects outlive the executor.
struct executor_dependencies
{
    base::incarnation nodeIncarnation = 0;
    const config::snapshot_cell &configuration;
    const upstream_table_cell &upstreams;
    executor_hooks hooks;
    wire_profile wire = {};
    executor_options options = {};
    std::shared_ptr<start_gates> startGates = std::make_shared<start_gates>();
    //! Asks an upstream that is in doubt for its state and then calls `start_gates::endQuestion`.
    //! Thread safety: any thread.
    std::function<void(const base::upstream_id &upstream)> askUpstream = {};
    //! Records that an incarnation of an upstream has said that it leaves. Thread safety: any
    //! thread.
    std::function<void(const base::upstream_id &upstream, base::incarnation incarnation)>
            markLeaving = {};
};

class executor_state;

//! Executing side of requests on one I/O thread: checks a request, waits for a slot and runs the
//! attempt on an upstream of this host. Serves streams opened by other nodes and, without a peer
//! link, requests whose entry node is this node.
//! Thread safety of all members: the thread of the io_context.
class executor
{
public:
    //! Precondition: `context` is run by one thread and outlives the executor.
    executor(boost::asio::io_context &context, executor_dependencies dependencies);
    ~executor();
    executor(const executor &) = delete;
    auto operator=(const executor &) -> executor & = delete;

    //! Runs one attempt. The rest of the body is read from `source` if `request.bodyComplete` is
    //! false.
    //! Precondition: the arguments outlive the returned coroutine.
    auto run(const attempt_request &request, const body_source &source, const answer_sink &sink,
             cancellation &cancel) -> boost::asio::awaitable<attempt_result>;

    //! Serves a stream that another node opened.
    auto serve(peer::stream_pointer stream) -> void;

    //! Refuses new streams of other nodes with `ShuttingDown`; in-flight requests continue.
    auto drain() -> void;

    //! Thread safety: any thread.
    auto context() -> boost::asio::io_context &;

    //! Returns the present load and health of a service on this node, or nothing if no upstream of
    //! it has announced itself.
    [[nodiscard]] auto loadOf(const base::service_id &service) const
            -> std::optional<policy::service_load>;

    //! Number of in-flight requests, from other nodes and from this node.
    [[nodiscard]] auto activeCount() const -> std::size_t;

    //! Number of idle connections to upstreams.
    [[nodiscard]] auto idleConnectionCount() const -> std::size_t;

    //! Closes idle connections and stops the timer that closes expired ones.
    auto stop() -> void;

private:
    std::shared_ptr<executor_state> m_state;
};

} // namespace hawthornpick::upstream
