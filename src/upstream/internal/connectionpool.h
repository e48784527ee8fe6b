#pragma once

#include "upstream/deadlinetimer.h"
#include "upstream/exchange.h"
#include "upstream/registry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornpick::upstream {

//! A connection to an upstream, closed on destruction unless it is released to the pool. It carries
//! each request id once: a late copy of an answer could otherwise be taken for the answer to a
//! repeat with the same id.
struct upstream_connection
{
    //! Bounds the ids that a connection keeps; it is not reused after this many requests.
    static constexpr std::size_t MAX_REQUESTS = 1000;

    explicit upstream_connection(const boost::asio::any_io_executor &executor)
        : socket(executor), timer(executor)
    {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    deadline_timer timer;
    base::upstream_id upstream;
    base::incarnation incarnation = 0;
    base::time_point idleSince;
    //! True if the connection has served a request before.
    bool reused = false;
    //! Hashes of the ids of the requests that the connection has carried.
    std::vector<std::uint64_t> requestIdHashes;

    [[nodiscard]] auto hasCarried(std::string_view requestId) const -> bool;
    auto addRequest(std::string_view requestId) -> void;

    auto close() -> void
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
};

using connection_pointer = std::unique_ptr<upstream_connection>;

//! Idle connections of one I/O thread to the upstreams of this host.
//! Thread safety: the thread of the io_context.
class connection_pool
{
public:
    //! Idle time after which a connection is closed. Upstreams commonly close idle ones after 5 s.
    static constexpr base::milliseconds MAX_IDLE_TIME{4000};
    //! Longest idle time of a connection for a request that is not idempotent. It is shorter
    //! because such a request can't be retried if the upstream closes the connection at the same
    //! time.
    static constexpr base::milliseconds MAX_IDLE_TIME_NON_IDEMPOTENT{1000};

    explicit connection_pool(boost::asio::io_context &context) : m_context(context) {}

    //! Removes the most recently used idle connection that is still open and has not carried the
    //! request id from the pool and returns it, or null if there is none.
    auto acquireIdle(const upstream_record &target, base::milliseconds maxIdleTime,
                     std::string_view requestId) -> connection_pointer;

    //! Opens a connection. Errors: `UpstreamUnreachable`, also after `connectDeadline`; the reason
    //! of `cancel`.
    auto connect(const upstream_record &target, base::time_point connectDeadline,
                 cancellation &cancel) -> boost::asio::awaitable<base::result<connection_pointer>>;

    //! Stores a connection for reuse, or closes it after `upstream_connection::MAX_REQUESTS`.
    //! Precondition: its last exchange is complete in both directions.
    auto release(connection_pointer connection) -> void;

    //! Closes connections that were idle for `MAX_IDLE_TIME`. Call every second.
    auto closeExpired(base::time_point now) -> void;

    auto closeAll() -> void { m_idle.clear(); }

    [[nodiscard]] auto idleCount() const -> std::size_t;

private:
    boost::asio::io_context &m_context;
    std::unordered_map<base::upstream_id, std::vector<connection_pointer>> m_idle;
};

} // namespace hawthornpick::upstream
