#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace hawthornpick::upstream {

//! Lets one coroutine wait for a notification from the same thread. A notification without a
//! waiting coroutine is kept for the next wait.
class wake_signal
{
public:
    explicit wake_signal(boost::asio::any_io_executor executor) : m_executor(std::move(executor)) {}

    wake_signal(const wake_signal &) = delete;
    auto operator=(const wake_signal &) -> wake_signal & = delete;

    //! Waits for the next notification, or returns at once if one was kept.
    //! Precondition: no other coroutine waits. Thread safety: the executor's thread.
    auto wait() -> boost::asio::awaitable<void>
    {
        if (std::exchange(m_isNotified, false)) {
            co_return;
        }
        co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
                [this](auto handler) {
                    auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
                    m_waiter = [sharedHandler] {
                        std::move (*sharedHandler)();
                    };
                },
                boost::asio::use_awaitable);
    }

    //! Posts the resumption of the waiting coroutine to the executor, or keeps the notification.
    //! Thread safety: the executor's thread.
    auto notify() -> void
    {
        if (!m_waiter) {
            m_isNotified = true;
            return;
        }
        boost::asio::post(m_executor, std::exchange(m_waiter, nullptr));
    }

private:
    boost::asio::any_io_executor m_executor;
    std::function<void()> m_waiter;
    bool m_isNotified = false;
};

} // namespace hawthornpick::upstream
