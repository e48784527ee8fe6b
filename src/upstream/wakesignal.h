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

//! Lets one coroutine wait for an event of the same thread. A notification before the wait is kept.
class wake_signal
{
public:
    explicit wake_signal(boost::asio::any_io_executor executor) : m_executor(std::move(executor)) {}

    wake_signal(const wake_signal &) = delete;
    auto operator=(const wake_signal &) -> wake_signal & = delete;

    //! Waits for the next notification.
    //! Precondition: no other coroutine waits. Thread safety: the executor's thread.
    auto wait() -> boost::asio::awaitable<void>
    {
        if (std::exchange(m_notified, false)) {
            co_return;
        }
        co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
                [this](auto handler) {
                    auto held = std::make_shared<decltype(handler)>(std::move(handler));
                    m_waiter = [held] {
                        std::move (*held)();
                    };
                },
                boost::asio::use_awaitable);
    }

    //! Resumes the waiting coroutine from the executor's queue, or keeps the notification.
    //! Thread safety: the executor's thread.
    auto notify() -> void
    {
        if (!m_waiter) {
            m_notified = true;
            return;
        }
        boost::asio::post(m_executor, std::exchange(m_waiter, nullptr));
    }

private:
    boost::asio::any_io_executor m_executor;
    std::function<void()> m_waiter;
    bool m_notified = false;
};

} // namespace hawthornpick::upstream
