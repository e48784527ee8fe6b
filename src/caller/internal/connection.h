#pragma once

#include "caller/internal/entry.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace hawthornpick::caller {

//! State that the connections of one I/O thread share. Thread safety: that thread.
struct connection_group
{
    entry_context &entryContext;
    //! Called when a connection has ended.
    std::function<void()> onClosed;
    //! Time at which the drain began; empty before.
    std::optional<base::time_point> drainStartTime;
    //! Inputs of the connections that wait for a request.
    std::unordered_set<caller_input *> idleInputs;
    //! Requests that are being handled.
    std::unordered_set<request_handler *> activeRequests;

    //! Begins to drain: responses close their connections, and idle connections are closed after
    //! `DRAIN_IDLE_TIMEOUT`.
    auto drain(base::time_point now) -> void
    {
        drainStartTime = now;
        for (auto *input : idleInputs) {
            input->interruptWait();
        }
    }

    //! Cancels all requests that are being handled, so that each gets a final response.
    auto cancelRequests() -> void
    {
        for (auto *request : std::unordered_set(activeRequests)) {
            request->cancel();
        }
    }
};

//! Maximum time for which a connection waits for a request.
inline constexpr base::milliseconds IDLE_TIMEOUT{60'000};
//! Maximum time from the first byte of a request to the end of its head.
inline constexpr base::milliseconds HEADER_TIMEOUT{10'000};
//! Time for which an idle connection stays open after a drain began, so that a request that is on
//! its way is served.
inline constexpr base::milliseconds DRAIN_IDLE_TIMEOUT{1'000};

//! Serves the requests of one connection until it ends.
//! Precondition: runs on the socket's thread; the objects that `group` refers to outlive the
//! coroutine.
auto serveCaller(boost::asio::ip::tcp::socket socket, std::shared_ptr<connection_group> group)
        -> boost::asio::awaitable<void>;

//! Answers a connection above the limit with `TooManyConnections` and closes it.
auto refuseCaller(boost::asio::ip::tcp::socket socket, std::shared_ptr<connection_group> group)
        -> boost::asio::awaitable<void>;

} // namespace hawthornpick::caller
