#pragma once

#include "policy/slotqueue.h"
#include "upstream/exchange.h"
#include "upstream/wakesignal.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>

namespace hawthornpick::upstream {

//! Waits on an I/O thread for the result of a slot queue, which may be delivered on any thread.
class slot_wait
{
public:
    using grant_result = base::result<policy::slot_grant>;

    explicit slot_wait(boost::asio::any_io_executor executor)
        : m_executor(executor), m_signal(std::move(executor))
    {}

    //! Returns the function to pass to `slot_queue::acquire`; it resumes the wait on the I/O
    //! thread.
    static auto resumeFunction(const std::shared_ptr<slot_wait> &self)
            -> policy::slot_resume_function
    {
        return [self](grant_result value) {
            boost::asio::post(self->m_executor, [self, value = std::move(value)]() mutable {
                self->complete(std::move(value));
            });
        };
    }

    //! Waits for a grant, a refusal, the deadline of the request or `cancel`.
    //! Precondition: `acquire` returned no value; the arguments outlive the returned coroutine.
    static auto awaitResult(std::shared_ptr<slot_wait> self, policy::slot_queue &queue,
                            const policy::slot_request &request, cancellation &cancel)
            -> boost::asio::awaitable<grant_result>;

private:
    auto complete(grant_result value) -> void
    {
        m_result = std::move(value);
        m_signal.notify();
    }

    boost::asio::any_io_executor m_executor;
    wake_signal m_signal;
    std::optional<grant_result> m_result;
};

} // namespace hawthornpick::upstream
