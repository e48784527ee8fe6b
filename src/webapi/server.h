#pragma once

#include "membership/view.h"
#include "webapi/message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

namespace hawthornpick::webapi {

//! Answers one request. An exception becomes a 500 answer.
using request_handler = std::function<boost::asio::awaitable<response>(request incoming)>;

//! Limits of a server.
struct server_limits
{
    std::size_t maxBodyBytes = 1024UL * 1024;
    std::size_t maxConnections = 256;

    auto operator<=>(const server_limits &) const = default;
};

class server_state;

//! Small HTTP/1.1 server for the administrative interfaces. The path of callers' requests has a
//! server of its own that streams bodies.
class server
{
public:
    //! Binds and starts to accept. Throws boost::system::system_error if the address is in use.
    //! Precondition: `context` is run by one thread and outlives the server.
    server(boost::asio::io_context &context, const membership::endpoint &address,
           server_limits limits, request_handler handler);
    ~server();
    server(const server &) = delete;
    auto operator=(const server &) -> server & = delete;

    //! Address in use; tells the port if 0 was asked for. Thread safety: any thread.
    [[nodiscard]] auto address() const -> membership::endpoint;

    //! Stops accepting and closes all connections. Thread safety: the thread of the io_context.
    auto stop() -> void;

private:
    std::shared_ptr<server_state> m_state;
};

} // namespace hawthornpick::webapi
