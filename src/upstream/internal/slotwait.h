#pragma once

#include "policy/slotqueue.h"
#include "upstream/exchange.h"
#include "upstream/wakesignal.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>

namespace hawthornpick::upstream {

//! Waits on an I/O thread for the decision of a fair queue, which comes on any thread.
class slot_wait
{
public:
    using decision = base::result<policy::slot_grant>;

    explicit slot_wait(boost::asio::any_io_executor executor)
        : m_executor(executor), m_signal(std::move(executor))
    {}

    //! Returns the function to pass to `slot_queue::enter`.
    static auto resumeFunction(const std::shared_ptr<slot_wait> &self)
            -> policy::slot_resume_function
    {
        return [self](decision value) {
            boost::asio::post(self->m_executor, [self, value = std::move(value)]() mutable {
                self->decide(std::move(value));
            });
        };
    }

    //! Waits for the decision, the deadline or `cancel`.
    //! Precondition: `enter` returned no value; the arguments outlive the returned coroutine.
    static auto finish(std::shared_ptr<slot_wait> self, policy::slot_queue &queue,
                       const policy::slot_request &request, cancellation &cancel)
            -> boost::asio::awaitable<decision>;

private:
    auto decide(decision value) -> void
    {
        m_decision = std::move(value);
        m_signal.notify();
    }

    boost::asio::any_io_executor m_executor;
    wake_signal m_signal;
    std::optional<decision> m_decision;
};

} // namespace hawthornpick::upstream
