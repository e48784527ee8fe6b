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

//! Services of the node that a `caller_server` uses.
//! Precondition: the referenced objects outlive the server.
struct server_dependencies
{
    base::node_id node;
    const config::snapshot_cell &configuration;
    const base::snapshot_cell<membership::view> &fleet;
    upstream::upstream_service &upstreams;
    //! Links to peer nodes, one pool for each I/O context in the same order; empty if the node
    //! forwards no requests.
    std::vector<peer::link_pool *> links;
    base::metrics &metrics;
    entry_hooks hooks;
    //! Connections above this number are answered with `TooManyConnections` and closed.
    std::uint32_t maxConnections = 2000;
    upstream::wire_profile wire = {};
};

class caller_server_state;

//! HTTP/1.1 server for callers. It authenticates and admits their requests and sends them to the
//! executing nodes.
class caller_server
{
public:
    //! Binds `address` and listens on it. The first context accepts the connections.
    //! Throws boost::system::system_error if the address cannot be bound.
    //! Precondition: each context is run by one thread and outlives the server; the contexts are
    //! those of `dependencies.upstreams`, in the same order.
    caller_server(std::vector<boost::asio::io_context *> contexts,
                  const membership::endpoint &address, server_dependencies dependencies);
    ~caller_server();
    caller_server(const caller_server &) = delete;
    auto operator=(const caller_server &) -> caller_server & = delete;

    //! Returns the bound TCP port. Thread safety: any thread.
    [[nodiscard]] auto port() const -> std::uint16_t;

    //! Returns the number of open caller connections. Thread safety: any thread.
    [[nodiscard]] auto connectionCount() const -> std::size_t;

    //! Accepts the connections in the listen backlog, stops listening, and lets all in-flight
    //! requests finish. `done` is called once, on one of the I/O threads, when no connection is
    //! open. Thread safety: any thread; only the first call has an effect.
    auto drain(std::function<void()> done) -> void;

    //! Cancels all in-flight requests, so that each gets a final response before the node stops.
    //! Thread safety: any thread.
    auto cancelRequests() -> void;

private:
    std::shared_ptr<caller_server_state> m_state;
};

} // namespace hawthornpick::caller
