#include "peer/link.h"

#include "base/log.h"
#include "peer/internal/connection.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <set>
#include <utility>

namespace hawthornpick::peer {

namespace asio = boost::asio;

namespace {

//! Messages that wait for a link to one node to open; further ones are dropped, because senders
//! retransmit.
constexpr std::size_t MAX_PENDING_MESSAGES_PER_NODE = 64;
//! If more than this many ping intervals pass between two maintenance runs, this process was
//! stalled.
constexpr int STALL_INTERVALS = 2;

using connection_pointer = std::shared_ptr<connection>;
using link_key = std::pair<base::node_id, membership::endpoint>;

//! Attempt to open a link, shared by all callers that wait for this link.
struct link_attempt
{
    explicit link_attempt(const asio::any_io_executor &executor)
        : finishedSignal(executor, asio::steady_timer::time_point::max())
    {}

    //! Cancelled to wake the waiting callers.
    asio::steady_timer finishedSignal;
    base::result<connection_pointer> outcome =
            base::fail(base::error_kind::PeerUnreachable, "link is still being opened");
    bool isFinished = false;
};

auto parseEndpoint(const membership::endpoint &address) -> base::result<asio::ip::tcp::endpoint>
{
    boost::system::error_code error;
    const auto parsed = asio::ip::make_address(address.address, error);
    if (error) {
        return base::fail(base::error_kind::PeerUnreachable,
                          "peer address must be an IP address, got " + address.address);
    }
    return asio::ip::tcp::endpoint(parsed, address.port);
}

} // namespace

class link_pool_state : public std::enable_shared_from_this<link_pool_state>
{
public:
    link_pool_state(asio::io_context &context, link_identity identity, stream_handler onStream,
                    message_handler onMessage, link_timing timing)
        : m_context(context), m_identity(std::move(identity)), m_timing(timing),
          m_onStream(std::move(onStream)), m_onMessage(std::move(onMessage)),
          m_maintenanceTimer(context)
    {}

    auto openStream(base::node_id node, membership::endpoint address,
                    base::incarnation expectedIncarnation)
            -> asio::awaitable<base::result<stream_pointer>>
    {
        const auto self = shared_from_this();
        auto link = co_await acquireLink(node, address, expectedIncarnation);
        if (!link) {
            co_return tl::unexpected(link.error());
        }
        co_return std::make_unique<stream>(std::make_shared<stream_state>(std::move(*link)));
    }

    auto sendMessage(const base::node_id &node, const membership::endpoint &address,
                     base::channel channel, std::string payload) -> void
    {
        const auto existing = m_outgoingLinks.find(node);
        if (existing != m_outgoingLinks.end() && existing->second->isOpen()) {
            existing->second->sendMessage(channel, payload);
            return;
        }
        auto &pendingCount = m_pendingMessageCounts[node];
        if (pendingCount >= MAX_PENDING_MESSAGES_PER_NODE || m_isClosed) {
            return;
        }
        ++pendingCount;
        asio::co_spawn(
                m_context,
                openAndSendMessage(shared_from_this(), node, address, channel, std::move(payload)),
                asio::detached);
    }

    auto serveAccepted(asio::ip::tcp::socket socket) -> void
    {
        if (m_isClosed) {
            return;
        }
        const auto link = addLink(std::move(socket), true);
        asio::co_spawn(m_context, runAcceptedLink(link), asio::detached);
    }

    [[nodiscard]] auto linkCount() const -> std::size_t { return m_links.size(); }

    auto drain() -> void { m_isDraining = true; }

    auto close() -> void
    {
        m_isClosed = true;
        m_maintenanceTimer.cancel();
        for (const auto &link : std::set(m_links)) {
            link->close("link pool is closed");
        }
    }

private:
    auto acquireLink(base::node_id node, membership::endpoint address,
                     base::incarnation expectedIncarnation)
            -> asio::awaitable<base::result<connection_pointer>>
    {
        const auto existing = m_outgoingLinks.find(node);
        if (existing != m_outgoingLinks.end()) {
            const auto link = existing->second;
            if (expectedIncarnation != 0 && link->peerIncarnation() > expectedIncarnation) {
                co_return base::fail(base::error_kind::IncarnationChanged,
                                     "peer has restarted with a newer incarnation");
            }
            // A link to an older incarnation than expected leads to a process that has ended.
            const bool hasExpectedIncarnation =
                    expectedIncarnation == 0 || link->peerIncarnation() == expectedIncarnation;
            if (hasExpectedIncarnation && co_await link->ensureAlive()) {
                co_return link;
            }
        }
        auto link = co_await openSharedLink(link_key(node, address));
        if (link && expectedIncarnation != 0 && (*link)->peerIncarnation() != expectedIncarnation) {
            co_return base::fail(base::error_kind::IncarnationChanged,
                                 "peer has another incarnation than expected");
        }
        co_return link;
    }

    auto openSharedLink(link_key key) -> asio::awaitable<base::result<connection_pointer>>
    {
        if (m_isClosed) {
            co_return base::fail(base::error_kind::PeerUnreachable, "link pool is closed");
        }
        auto &entry = m_attempts[key];
        if (!entry) {
            entry = std::make_shared<link_attempt>(m_context.get_executor());
            asio::co_spawn(m_context, runAttempt(shared_from_this(), key, entry), asio::detached);
        }
        const auto attempt = entry;
        while (!attempt->isFinished) {
            boost::system::error_code ignored;
            co_await attempt->finishedSignal.async_wait(
                    asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return attempt->outcome;
    }

    static auto runAttempt(std::shared_ptr<link_pool_state> self, link_key key,
                           std::shared_ptr<link_attempt> attempt) -> asio::awaitable<void>
    {
        attempt->outcome = co_await self->connect(key.first, key.second);
        attempt->isFinished = true;
        attempt->finishedSignal.cancel();
        self->m_attempts.erase(key);
        if (!attempt->outcome) {
            base::log(base::log_level::Debug, "link could not be opened",
                      {{"peer", key.first.str()}, {"reason", attempt->outcome.error().detail}});
            co_return;
        }
        const auto link = *attempt->outcome;
        if (!link->isOpen()) {
            co_return;
        }
        self->m_outgoingLinks[key.first] = link;
        co_await link->readFrames();
    }

    auto connect(const base::node_id &node, const membership::endpoint &address)
            -> asio::awaitable<base::result<connection_pointer>>
    {
        const auto remote = parseEndpoint(address);
        if (!remote) {
            co_return tl::unexpected(remote.error());
        }
        boost::system::error_code error;
        asio::ip::tcp::socket socket(m_context);
        socket.open(remote->protocol(), error);
        if (!error && !m_identity.localAddress.empty()) {
            const auto local = asio::ip::make_address(m_identity.localAddress, error);
            if (!error) {
                socket.bind({local, 0}, error);
            }
        }
        if (error) {
            co_return base::fail(base::error_kind::PeerUnreachable, error.message());
        }
        const auto link = addLink(std::move(socket), false);
        if (const auto connected = co_await link->connect(*remote); !connected) {
            co_return tl::unexpected(connected.error());
        }
        if (const auto authenticated = co_await link->handshakeAsConnecting(); !authenticated) {
            co_return tl::unexpected(authenticated.error());
        }
        if (link->peerNode() != node) {
            link->close("peer authenticated as another node");
            co_return base::fail(base::error_kind::PeerUnreachable,
                                 "peer at the address is node " + link->peerNode().str()
                                         + ", expected " + node.str());
        }
        co_return link;
    }

    static auto openAndSendMessage(std::shared_ptr<link_pool_state> self, base::node_id node,
                                   membership::endpoint address, base::channel channel,
                                   std::string payload) -> asio::awaitable<void>
    {
        const auto link = co_await self->acquireLink(node, address, 0);
        auto &pendingCount = self->m_pendingMessageCounts[node];
        if (--pendingCount == 0) {
            self->m_pendingMessageCounts.erase(node);
        }
        if (link) {
            (*link)->sendMessage(channel, payload);
        }
    }

    static auto runAcceptedLink(connection_pointer link) -> asio::awaitable<void>
    {
        const auto authenticated = co_await link->handshakeAsAccepting();
        if (!authenticated) {
            base::log(base::log_level::Debug, "incoming link was refused",
                      {{"reason", authenticated.error().detail}});
            co_return;
        }
        co_await link->readFrames();
    }

    auto addLink(asio::ip::tcp::socket socket, bool isAccepted) -> connection_pointer
    {
        const std::weak_ptr<link_pool_state> weak = weak_from_this();
        const auto onClosed = [weak](const connection_pointer &link) {
            if (const auto pool = weak.lock()) {
                pool->removeLink(link);
            }
        };
        const auto isDraining = [weak] {
            const auto pool = weak.lock();
            return !pool || pool->m_isDraining;
        };
        auto link = std::make_shared<connection>(
                std::move(socket), m_identity, m_timing, isAccepted,
                connection_callbacks{m_onStream, m_onMessage, onClosed, isDraining});
        m_links.insert(link);
        startMaintenance();
        return link;
    }

    auto removeLink(const connection_pointer &link) -> void
    {
        m_links.erase(link);
        const auto position = m_outgoingLinks.find(link->peerNode());
        if (position != m_outgoingLinks.end() && position->second == link) {
            m_outgoingLinks.erase(position);
        }
    }

    auto startMaintenance() -> void
    {
        if (m_isMaintenanceScheduled || m_isClosed) {
            return;
        }
        m_isMaintenanceScheduled = true;
        m_lastMaintenanceAt = base::clock::now();
        m_maintenanceTimer.expires_after(m_timing.pingInterval);
        m_maintenanceTimer.async_wait(
                [weak = weak_from_this()](const boost::system::error_code &error) {
                    const auto pool = weak.lock();
                    if (pool && !error) {
                        pool->maintain();
                    }
                });
    }

    auto maintain() -> void
    {
        const auto now = base::clock::now();
        const bool wasStalled = now - m_lastMaintenanceAt > STALL_INTERVALS * m_timing.pingInterval;
        for (const auto &link : std::set(m_links)) {
            link->maintain(now, wasStalled);
        }
        m_isMaintenanceScheduled = false;
        if (!m_links.empty()) {
            startMaintenance();
        }
    }

    asio::io_context &m_context;
    link_identity m_identity;
    link_timing m_timing;
    stream_handler m_onStream;
    message_handler m_onMessage;
    asio::steady_timer m_maintenanceTimer;
    base::time_point m_lastMaintenanceAt;
    bool m_isMaintenanceScheduled = false;
    bool m_isDraining = false;
    bool m_isClosed = false;
    std::set<connection_pointer> m_links;
    std::map<base::node_id, connection_pointer> m_outgoingLinks;
    std::map<link_key, std::shared_ptr<link_attempt>> m_attempts;
    std::map<base::node_id, std::size_t> m_pendingMessageCounts;
};

stream::stream(std::shared_ptr<stream_state> state) : m_state(std::move(state)) {}

stream::~stream()
{
    reset(base::error_kind::CallerGone);
}

auto stream::peer() const -> const base::node_id &
{
    return m_state->link->peerNode();
}

auto stream::sendHead(std::string bytes) -> asio::awaitable<base::result<void>>
{
    co_return m_state->link->sendHead(m_state, std::move(bytes));
}

auto stream::sendData(std::string bytes) -> asio::awaitable<base::result<void>>
{
    return m_state->link->sendData(m_state, std::move(bytes));
}

auto stream::sendEnd(std::string bytes) -> asio::awaitable<base::result<void>>
{
    co_return m_state->link->sendEnd(m_state, std::move(bytes));
}

auto stream::receive() -> asio::awaitable<base::result<stream_event>>
{
    return m_state->link->receive(m_state);
}

auto stream::onFailure(std::function<void()> action) -> void
{
    m_state->onFailure = std::move(action);
}

auto stream::reset(base::error_kind reason) -> void
{
    m_state->link->reset(m_state, reason);
}

link_pool::link_pool(asio::io_context &context, link_identity identity, stream_handler onStream,
                     message_handler onMessage, link_timing timing)
    : m_state(std::make_shared<link_pool_state>(context, std::move(identity), std::move(onStream),
                                                std::move(onMessage), timing))
{}

link_pool::~link_pool()
{
    m_state->close();
}

auto link_pool::openStream(const base::node_id &node, const membership::endpoint &address,
                           base::incarnation expectedIncarnation)
        -> asio::awaitable<base::result<stream_pointer>>
{
    return m_state->openStream(node, address, expectedIncarnation);
}

auto link_pool::sendMessage(const base::node_id &node, const membership::endpoint &address,
                            base::channel channel, std::string payload) -> void
{
    m_state->sendMessage(node, address, channel, std::move(payload));
}

auto link_pool::serveAccepted(asio::ip::tcp::socket socket) -> void
{
    m_state->serveAccepted(std::move(socket));
}

auto link_pool::linkCount() const -> std::size_t
{
    return m_state->linkCount();
}

auto link_pool::drain() -> void
{
    m_state->drain();
}

auto link_pool::close() -> void
{
    m_state->close();
}

} // namespace hawthornpick::peer
