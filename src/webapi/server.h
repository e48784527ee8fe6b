#pragma once

#include "membership/view.h"
#include "webapi/message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

namespace hawthornpick::webapi {

//! Returns the response to one request. If it throws, the server logs the error and responds with
//! status 500.
using request_handler = std::function<boost::asio::awaitable<response>(request incoming)>;

//! Resource limits of a server. Larger bodies get status 413; connections above the limit are
//! closed.
struct server_limits
{
    std::size_t maxBodyBytes = 1024UL * 1024;
    std::size_t maxConnections = 256;

    auto operator<=>(const server_limits &) const = default;
};

class server_state;

//! Minimal HTTP/1.1 server for the administrative interfaces. It buffers whole bodies; proxied
//! requests of callers are served by a separate server that streams them.
class server
{
public:
    //! Binds `address` and starts to accept connections.
    //! Throws boost::system::system_error if the address is in use.
    //! Precondition: `context` is run by one thread and outlives the server.
    server(boost::asio::io_context &context, const membership::endpoint &address,
           server_limits limits, request_handler handler);
    ~server();
    server(const server &) = delete;
    auto operator=(const server &) -> server & = delete;

    //! Returns the bound address, with the assigned port if port 0 was requested.
    //! Thread safety: any thread.
    [[nodiscard]] auto address() const -> membership::endpoint;

    //! Stops accepting and closes all connections. Thread safety: the thread of the io_context.
    auto stop() -> void;

private:
    std::shared_ptr<server_state> m_state;
};

} // namespace hawthornpick::webapi
