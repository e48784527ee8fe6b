#include "app/internal/crashprobe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hawthornpick::app {

namespace asio = boost::asio;
using asio::ip::tcp;

crash_probe::crash_probe(asio::io_context &context, address_function addressOf,
                         result_function onResult)
    : m_context(context), m_addressOf(std::move(addressOf)), m_onResult(std::move(onResult))
{}

auto crash_probe::onConnectionLost(const upstream::attempt_observation &observation) -> void
{
    bool isFirst = false;
    {
        const std::lock_guard lock(m_mutex);
        auto &lostAttempts = m_lossEvents[observation.upstream];
        isFirst = lostAttempts.empty();
        lostAttempts.push_back(observation);
    }
    if (!isFirst) {
        return;
    }
    asio::post(m_context, [self = shared_from_this(), upstream = observation.upstream] {
        auto timer = std::make_shared<asio::steady_timer>(self->m_context, GROUPING_WINDOW);
        timer->async_wait([self, upstream, timer](const auto & /*failure*/) {
            self->probeUpstream(upstream);
        });
    });
}

auto crash_probe::probeUpstream(const base::upstream_id &upstream) -> void
{
    const auto address = m_addressOf(upstream);
    if (!address) {
        reportResult(upstream, true);
        return;
    }
    auto socket = std::make_shared<tcp::socket>(m_context);
    auto timer = std::make_shared<asio::steady_timer>(m_context, CONNECT_TIMEOUT);
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
                // A timeout does not prove a crash: the process may be too busy to accept.
                self->reportResult(upstream, failure == asio::error::connection_refused);
            });
}

auto crash_probe::reportResult(const base::upstream_id &upstream, bool hasCrashed) -> void
{
    std::vector<upstream::attempt_observation> lostAttempts;
    {
        const std::lock_guard lock(m_mutex);
        lostAttempts = std::move(m_lossEvents[upstream]);
        m_lossEvents.erase(upstream);
    }
    m_onResult(lostAttempts, hasCrashed);
}

} // namespace hawthornpick::app
