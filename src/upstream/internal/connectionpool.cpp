#include "upstream/internal/connectionpool.h"

#include "base/digest.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

namespace hawthornpick::upstream {

namespace asio = boost::asio;

namespace {

// Readable data or a closed peer on an idle connection means that it can't be reused.
auto isReusable(asio::ip::tcp::socket &socket) -> bool
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

auto upstream_connection::hasCarried(std::string_view requestId) const -> bool
{
    return std::find(requestIdHashes.begin(), requestIdHashes.end(), base::hash64(requestId))
           != requestIdHashes.end();
}

auto upstream_connection::addRequest(std::string_view requestId) -> void
{
    requestIdHashes.push_back(base::hash64(requestId));
}

auto connection_pool::acquireIdle(const upstream_record &target, base::milliseconds maxIdleTime,
                                  std::string_view requestId) -> connection_pointer
{
    const auto position = m_idle.find(target.entry.id);
    if (position == m_idle.end()) {
        return nullptr;
    }
    auto &idle = position->second;
    const auto earliestIdleSince = base::clock::now() - maxIdleTime;
    for (auto i = idle.size(); i > 0 && idle[i - 1]->idleSince >= earliestIdleSince; --i) {
        if (idle[i - 1]->hasCarried(requestId)) {
            continue;
        }
        auto connection = std::move(idle[i - 1]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        if (connection->incarnation == target.entry.incarnation && isReusable(connection->socket)) {
            return connection;
        }
    }
    return nullptr;
}

auto connection_pool::connect(const upstream_record &target, base::time_point connectDeadline,
                              cancellation &cancel)
        -> asio::awaitable<base::result<connection_pointer>>
{
    auto connection = std::make_unique<upstream_connection>(m_context.get_executor());
    connection->upstream = target.entry.id;
    connection->incarnation = target.entry.incarnation;
    auto *rawConnection = connection.get();
    rawConnection->timer.set(connectDeadline, [rawConnection] { rawConnection->close(); });
    cancel.onRequest([rawConnection] { rawConnection->close(); });
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(target.address.address),
                                           target.address.port);
    const auto [error] = co_await rawConnection->socket.async_connect(
            endpoint, asio::as_tuple(asio::use_awaitable));
    rawConnection->timer.clear();
    cancel.onRequest(nullptr);
    if (cancel.reason()) {
        co_return base::fail(*cancel.reason());
    }
    if (error || !rawConnection->socket.is_open()) {
        co_return base::fail(base::error_kind::UpstreamUnreachable, error.message());
    }
    boost::system::error_code ignored;
    rawConnection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return connection;
}

auto connection_pool::release(connection_pointer connection) -> void
{
    if (connection->requestIdHashes.size() >= upstream_connection::MAX_REQUESTS) {
        return;
    }
    connection->timer.clear();
    connection->reused = true;
    connection->idleSince = base::clock::now();
    m_idle[connection->upstream].push_back(std::move(connection));
}

auto connection_pool::closeExpired(base::time_point now) -> void
{
    for (auto &[upstream, idle] : m_idle) {
        std::erase_if(idle, [now](const connection_pointer &connection) {
            return connection->idleSince + MAX_IDLE_TIME <= now;
        });
    }
    std::erase_if(m_idle, [](const auto &item) { return item.second.empty(); });
}

auto connection_pool::idleCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[upstream, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

} // namespace hawthornpick::upstream
