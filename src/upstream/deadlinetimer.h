#pragma once

#include "base/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace hawthornpick::upstream {

//! Timer for deadlines that usually move on before they pass. Moving a deadline to a later time
//! costs no timer operation, which matters for a deadline set on each request of a connection.
class deadline_timer
{
public:
    //! Precondition: used on the executor's thread only.
    explicit deadline_timer(const boost::asio::any_io_executor &executor)
        : m_core(std::make_shared<core>(executor))
    {}
    ~deadline_timer() { stop(); }
    deadline_timer(const deadline_timer &) = delete;
    auto operator=(const deadline_timer &) -> deadline_timer & = delete;

    //! Calls `action` at `deadline` unless `set` or `clear` is called before.
    auto set(base::time_point deadline, std::function<void()> action) -> void
    {
        m_core->deadline = deadline;
        m_core->action = std::move(action);
        if (!m_core->armed || m_core->armedFor > deadline) {
            arm(m_core);
        }
    }

    //! Removes the deadline.
    auto clear() -> void { m_core->action = nullptr; }

private:
    struct core
    {
        explicit core(const boost::asio::any_io_executor &executor) : timer(executor) {}

        boost::asio::steady_timer timer;
        base::time_point deadline;
        base::time_point armedFor;
        std::function<void()> action;
        bool armed = false;
        std::uint64_t round = 0;
    };

    static auto arm(const std::shared_ptr<core> &state) -> void
    {
        state->armed = true;
        state->armedFor = state->deadline;
        const auto round = ++state->round;
        state->timer.expires_at(state->deadline);
        state->timer.async_wait([state, round](const boost::system::error_code &) {
            if (round == state->round) {
                expire(state);
            }
        });
    }

    static auto expire(const std::shared_ptr<core> &state) -> void
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
        ++m_core->round;
        m_core->action = nullptr;
        m_core->timer.cancel();
    }

    std::shared_ptr<core> m_core;
};

} // namespace hawthornpick::upstream
