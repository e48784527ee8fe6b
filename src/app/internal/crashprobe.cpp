#include "app/internal/crashprobe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hawthornpick::app {

namespace asio = boost::asio;
using asio::ip::tcp;

crash_probe::crash_probe(asio::io_context &context, address_function address,
                         result_function result)
    : m_context(context), m_address(std::move(address)), m_result(std::move(result))
{}

auto crash_probe::onConnectionLost(const upstream::attempt_observation &observation) -> void
{
    bool isFirst = false;
    {
        const std::lock_guard lock(m_mutex);
        auto &event = m_events[observation.upstream];
        isFirst = event.empty();
        event.push_back(observation);
    }
    if (!isFirst) {
        return;
    }
    asio::post(m_context, [self = shared_from_this(), upstream = observation.upstream] {
        auto timer = std::make_shared<asio::steady_timer>(self->m_context, COLLECT_TIME);
        timer->async_wait(
                [self, upstream, timer](const auto & /*failure*/) { self->connect(upstream); });
    });
}

auto crash_probe::connect(const base::upstream_id &upstream) -> void
{
    const auto address = m_address(upstream);
    if (!address) {
        finish(upstream, true);
        return;
    }
    auto socket = std::make_shared<tcp::socket>(m_context);
    auto timer = std::make_shared<asio::steady_timer>(m_context, CONNECT_TIME);
    timer->async_wait([socket](const auto &failure) {
        if (!failure) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    const tcp::endpoint target(asio::ip::make_address(address->address), address->port);
    socket->async_connect(
            target, [self = shared_from_this(), upstream, socket, timer](const auto &failure) {
                timer->cancel();
                // A time-out is no proof: the process may be too busy to accept.
                self->finish(upstream, failure == asio::error::connection_refused);
            });
}

auto crash_probe::finish(const base::upstream_id &upstream, bool hasCrashed) -> void
{
    std::vector<upstream::attempt_observation> losses;
    {
        const std::lock_guard lock(m_mutex);
        losses = std::move(m_events[upstream]);
        m_events.erase(upstream);
    }
    m_result(losses, hasCrashed);
}

} // namespace hawthornpick::app
