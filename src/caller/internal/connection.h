#pragma once

#include "caller/internal/entry.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace hawthornpick::caller {

//! Connections of one I/O thread and what they share. Thread safety: that thread.
struct connection_group
{
    entry &owner;
    //! Called when a connection has ended.
    std::function<void()> onClosed;
    //! Set when shutdown begins.
    std::optional<base::time_point> drainStart;
    //! Connections that wait for a request.
    std::unordered_set<caller_input *> idle;
    //! Requests that are not answered yet.
    std::unordered_set<entry_request *> active;

    //! Begins the shutdown: answers close their connections, and idle ones end soon.
    auto drain(base::time_point now) -> void
    {
        drainStart = now;
        for (auto *input : idle) {
            input->interrupt();
        }
    }

    //! Gives all requests that are under way their final answer.
    auto abandon() -> void
    {
        for (auto *request : std::unordered_set(active)) {
            request->abandon();
        }
    }
};

//! Time limits of a caller connection.
inline constexpr base::milliseconds IDLE_LIMIT{60'000};
inline constexpr base::milliseconds HEADER_LIMIT{10'000};
//! Time for which an idle connection is still served after shutdown began, so that a request that
//! is on its way is answered.
inline constexpr base::milliseconds DRAIN_IDLE_LIMIT{1'000};

//! Serves one caller until the connection ends.
//! Precondition: runs on the socket's thread; `group` outlives the coroutine.
auto serveCaller(boost::asio::ip::tcp::socket socket, std::shared_ptr<connection_group> group)
        -> boost::asio::awaitable<void>;

//! Refuses a connection above the limit.
auto refuseCaller(boost::asio::ip::tcp::socket socket, std::shared_ptr<connection_group> group)
        -> boost::asio::awaitable<void>;

} // namespace hawthornpick::caller
