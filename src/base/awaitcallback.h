#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace hawthornpick::base {

//! Waits for a result that a callback delivers on any thread; the coroutine resumes on its own
//! thread. `start` is called with the callback, which must be called exactly once.
template <typename T>
auto awaitCallback(std::function<void(std::function<void(T)>)> start) -> boost::asio::awaitable<T>
{
    namespace asio = boost::asio;
    auto executor = co_await asio::this_coro::executor;
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(T)>(
            [executor, &start](auto handler) {
                auto held = std::make_shared<decltype(handler)>(std::move(handler));
                start([executor, held](T value) {
                    asio::post(executor, [held, value = std::move(value)]() mutable {
                        std::move (*held)(std::move(value));
                    });
                });
            },
            asio::use_awaitable);
}

} // namespace hawthornpick::base
