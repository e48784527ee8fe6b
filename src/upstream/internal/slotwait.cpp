#include "upstream/internal/slotwait.h"

#include <boost/asio/steady_timer.hpp>

namespace hawthornpick::upstream {

namespace asio = boost::asio;

auto slot_wait::awaitResult(std::shared_ptr<slot_wait> self, policy::slot_queue &queue,
                            const policy::slot_request &request, cancellation &cancel)
        -> asio::awaitable<grant_result>
{
    asio::steady_timer deadlineTimer(self->m_executor, request.deadline);
    deadlineTimer.async_wait([self, &queue](const boost::system::error_code &cancelled) {
        if (!cancelled && !self->m_result) {
            queue.expire(base::clock::now());
        }
    });
    // `queue.cancel` returns false if the request has already left the queue; then the queue
    // delivers its result, and the wait goes on until then.
    cancel.onRequest([self, &queue, &request, &cancel] {
        if (queue.cancel(request.attempt)) {
            self->complete(base::fail(*cancel.reason()));
        }
    });
    while (!self->m_result) {
        co_await self->m_signal.wait();
    }
    cancel.onRequest(nullptr);
    co_return *self->m_result;
}

} // namespace hawthornpick::upstream
