#include "upstream/internal/slotwait.h"

#include <boost/asio/steady_timer.hpp>

namespace hawthornpick::upstream {

namespace asio = boost::asio;

auto slot_wait::finish(std::shared_ptr<slot_wait> self, policy::slot_queue &queue,
                       const policy::slot_request &request, cancellation &cancel)
        -> asio::awaitable<decision>
{
    asio::steady_timer timer(self->m_executor, request.deadline);
    timer.async_wait([self, &queue](const boost::system::error_code &cancelled) {
        if (!cancelled && !self->m_decision) {
            queue.expire(base::clock::now());
        }
    });
    // If the request no longer waits, the queue's decision is on its way.
    cancel.onRequest([self, &queue, &request, &cancel] {
        if (queue.cancel(request.attempt)) {
            self->decide(base::fail(*cancel.reason()));
        }
    });
    while (!self->m_decision) {
        co_await self->m_signal.wait();
    }
    cancel.onRequest(nullptr);
    co_return *self->m_decision;
}

} // namespace hawthornpick::upstream
