#pragma once

#include "peer/link.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hawthornpick::peer::test {

//! Longest wait for a condition; far above any expected time, because test machines may be under
//! load.
inline constexpr std::chrono::seconds WAIT_LIMIT{20};

//! A node that accepts links on a loopback port and records received streams and messages.
class test_peer
{
public:
    test_peer(boost::asio::io_context &context, std::string name, base::incarnation incarnation,
              std::string secret = "fleet secret")
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_pool(
                  context, {base::node_id(std::move(name)), incarnation, std::move(secret), ""},
                  [this](stream_pointer incoming) { handleStream(std::move(incoming)); },
                  [this](const base::node_id &from, base::channel channel, std::string payload) {
                      messages.push_back({from, channel, std::move(payload)});
                  })
    {
        acceptNext();
    }

    //! Handles incoming streams; if empty, they are stored in `incoming`.
    stream_handler onStream;
    std::vector<stream_pointer> incoming;
    std::vector<base::outgoing_message> messages;

    auto pool() -> link_pool & { return m_pool; }
    [[nodiscard]] auto address() const -> membership::endpoint
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    auto stopAccepting() -> void { m_acceptor.close(); }

private:
    auto handleStream(stream_pointer accepted) -> void
    {
        if (onStream) {
            onStream(std::move(accepted));
        } else {
            incoming.push_back(std::move(accepted));
        }
    }

    auto acceptNext() -> void
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error,
                                       boost::asio::ip::tcp::socket socket) {
            if (!error) {
                m_pool.serveAccepted(std::move(socket));
                acceptNext();
            }
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    link_pool m_pool;
};

//! Runs the context until `condition` holds. Returns false after `WAIT_LIMIT`.
inline auto runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
        -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + WAIT_LIMIT;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        context.restart();
        context.run_one_for(std::chrono::milliseconds(50));
    }
    return true;
}

//! Runs the context until the coroutine returns and returns its value.
template <typename T>
auto await(boost::asio::io_context &context, boost::asio::awaitable<T> task) -> T
{
    std::optional<T> value;
    boost::asio::co_spawn(
            context, std::move(task),
            [&value](const std::exception_ptr &, T returned) { value = std::move(returned); });
    CHECK_TEXT(runUntil(context, [&value] { return value.has_value(); }),
               "coroutine did not return within WAIT_LIMIT");
    return std::move(*value);
}

//! Returns the head, body and end of a stream to its sender.
inline auto echo(stream_pointer incoming) -> boost::asio::awaitable<void>
{
    while (true) {
        auto event = co_await incoming->receive();
        if (!event) {
            co_return;
        }
        base::result<void> sent;
        if (auto *head = std::get_if<stream_head>(&*event)) {
            sent = co_await incoming->sendHead(std::move(head->bytes));
        } else if (auto *data = std::get_if<stream_data>(&*event)) {
            sent = co_await incoming->sendData(std::move(data->bytes));
        } else {
            co_await incoming->sendEnd(std::move(std::get<stream_end>(*event).bytes));
            co_return;
        }
        if (!sent) {
            co_return;
        }
    }
}

//! Receives until the end of a stream. Returns the concatenated body, or the error of the stream.
inline auto readBody(stream &source) -> boost::asio::awaitable<base::result<std::string>>
{
    std::string body;
    while (true) {
        auto event = co_await source.receive();
        if (!event) {
            co_return tl::unexpected(event.error());
        }
        if (const auto *data = std::get_if<stream_data>(&*event)) {
            body += data->bytes;
        } else if (std::holds_alternative<stream_end>(*event)) {
            co_return body;
        }
    }
}

} // namespace hawthornpick::peer::test
