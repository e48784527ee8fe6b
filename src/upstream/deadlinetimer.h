#pragma once

#include "base/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace hawthornpick::upstream {

//! Timer for deadlines that are usually postponed before they pass. Postponing needs no operation
//! on the underlying timer, which matters for a deadline that is set for each request on a
//! connection.
class deadline_timer
{
public:
    //! Precondition: used on the executor's thread only.
    explicit deadline_timer(const boost::asio::any_io_executor &executor)
        : m_state(std::make_shared<timer_state>(executor))
    {}
    ~deadline_timer() { stop(); }
    deadline_timer(const deadline_timer &) = delete;
    auto operator=(const deadline_timer &) -> deadline_timer & = delete;

    //! Calls `action` at `deadline` unless `set` or `clear` is called before. Replaces the previous
    //! deadline and action.
    auto set(base::time_point deadline, std::function<void()> action) -> void
    {
        m_state->deadline = deadline;
        m_state->action = std::move(action);
        if (!m_state->armed || m_state->armedDeadline > deadline) {
            arm(m_state);
        }
    }

    //! Removes the deadline.
    auto clear() -> void { m_state->action = nullptr; }

private:
    struct timer_state
    {
        explicit timer_state(const boost::asio::any_io_executor &executor) : timer(executor) {}

        boost::asio::steady_timer timer;
        base::time_point deadline;
        base::time_point armedDeadline;
        std::function<void()> action;
        bool armed = false;
        // Identifies the latest wait; the handlers of earlier waits are ignored.
        std::uint64_t generation = 0;
    };

    static auto arm(const std::shared_ptr<timer_state> &state) -> void
    {
        state->armed = true;
        state->armedDeadline = state->deadline;
        const auto generation = ++state->generation;
        state->timer.expires_at(state->deadline);
        state->timer.async_wait([state, generation](const boost::system::error_code &) {
            if (generation == state->generation) {
                onExpiry(state);
            }
        });
    }

    static auto onExpiry(const std::shared_ptr<timer_state> &state) -> void
    {
        state->armed = false;
        if (!state->action) {
            return;
        }
        if (base::clock::now() < state->deadline) {
            arm(state);
            return;
        }
        const auto action = std::exchange(state->action, nullptr);
        action();
    }

    auto stop() -> void
    {
        ++m_state->generation;
        m_state->action = nullptr;
        m_state->timer.cancel();
    }

    std::shared_ptr<timer_state> m_state;
};

} // namespace hawthornpick::upstream
