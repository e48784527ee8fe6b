#pragma once

#include "base/metrics.h"
#include "caller/hooks.h"
#include "config/snapshot.h"
#include "peer/link.h"
#include "upstream/upstreamservice.h"
#include "upstream/wireprofile.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace hawthornpick::caller {

//! What the module needs from the node. Referenced objects outlive the server.
struct server_dependencies
{
    base::node_id node;
    const config::snapshot_cell &configuration;
    const base::snapshot_cell<membership::view> &fleet;
    upstream::upstream_service &upstreams;
    //! One for each context in the same order, or empty if the node has no peers.
    std::vector<peer::link_pool *> links;
    base::metrics &metrics;
    entry_hooks hooks;
    std::uint32_t maxConnections = 2000;
    upstream::wire_profile wire = {};
};

class caller_server_state;

//! HTTP/1.1 server towards callers and entry side of their requests.
class caller_server
{
public:
    //! Binds and listens. Throws boost::system::system_error if the address can't be used.
    //! Precondition: each context is run by one thread and outlives the server; the contexts are
    //! those of `dependencies.upstreams`, in the same order. The first one accepts connections.
    caller_server(std::vector<boost::asio::io_context *> contexts,
                  const membership::endpoint &address, server_dependencies dependencies);
    ~caller_server();
    caller_server(const caller_server &) = delete;
    auto operator=(const caller_server &) -> caller_server & = delete;

    //! Returns the bound port. Thread safety: any thread.
    [[nodiscard]] auto port() const -> std::uint16_t;

    //! Returns the number of open caller connections. Thread safety: any thread.
    [[nodiscard]] auto connectionCount() const -> std::size_t;

    //! Stops accepting, after the connections that wait in the backlog, and lets all requests
    //! finish. `done` is called once on one of the threads when no connection is left.
    //! Thread safety: any thread; only the first call has an effect.
    auto drain(std::function<void()> done) -> void;

    //! Gives all requests that are under way their final answer, for the end of a shutdown.
    //! Thread safety: any thread.
    auto abandon() -> void;

private:
    std::shared_ptr<caller_server_state> m_state;
};

} // namespace hawthornpick::caller
