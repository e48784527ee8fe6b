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

//! Suspends the coroutine until a callback delivers a result. Calls `startOperation` with the
//! callback, which must be called exactly once. Thread safety: the callback may be called on any
//! thread; the coroutine resumes on its own executor.
template <typename T>
auto awaitCallback(std::function<void(std::function<void(T)>)> startOperation)
        -> boost::asio::awaitable<T>
{
    namespace asio = boost::asio;
    auto executor = co_await asio::this_coro::executor;
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(T)>(
            [executor, &startOperation](auto handler) {
                auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
                startOperation([executor, sharedHandler](T value) {
                    asio::post(executor, [sharedHandler, value = std::move(value)]() mutable {
                        std::move (*sharedHandler)(std::move(value));
                    });
                });
            },
            asio::use_awaitable);
}

} // namespace hawthornpick::base
