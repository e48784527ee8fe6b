#include "caller/callerserver.h"

#include "base/log.h"
#include "caller/internal/connection.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hawthornpick::caller {

namespace asio = boost::asio;

using asio::ip::tcp;

namespace {

// Pause after a failed accept, for example when no file descriptor is left.
constexpr base::milliseconds ACCEPT_PAUSE{50};
constexpr auto WITH_ERROR = asio::as_tuple(asio::use_awaitable);

auto logFailure(const std::exception_ptr &failure) -> void
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        base::log(base::log_level::Error, "a caller's connection failed",
                  {{"error", error.what()}});
    }
}

// One I/O thread of the server.
struct io_part
{
    asio::io_context &context;
    std::unique_ptr<upstream::forwarder> remote;
    std::unique_ptr<entry> owner;
    std::shared_ptr<connection_group> group;
};

} // namespace

class caller_server_state : public std::enable_shared_from_this<caller_server_state>
{
public:
    caller_server_state(std::vector<asio::io_context *> contexts, const tcp::endpoint &address,
                        server_dependencies dependencies)
        : m_dependencies(std::move(dependencies)), m_acceptor(*contexts.front())
    {
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen();
        for (std::size_t i = 0; i < contexts.size(); ++i) {
            addPart(*contexts[i], i);
        }
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    [[nodiscard]] auto connectionCount() const -> std::size_t { return m_open.load(); }

    auto start() -> void
    {
        asio::co_spawn(m_acceptor.get_executor(), accept(shared_from_this()), asio::detached);
    }

    auto requestDrain(std::function<void()> done) -> void
    {
        asio::post(m_acceptor.get_executor(),
                   [self = shared_from_this(), done = std::move(done)]() mutable {
                       self->drain(std::move(done));
                   });
    }

    auto abandon() -> void
    {
        for (auto &part : m_parts) {
            asio::post(part.context, [group = part.group] { group->abandon(); });
        }
    }

private:
    static auto accept(std::shared_ptr<caller_server_state> self) -> asio::awaitable<void>
    {
        while (self->m_acceptor.is_open()) {
            auto &part = self->nextPart();
            auto [error, socket] = co_await self->m_acceptor.async_accept(part.context, WITH_ERROR);
            if (!error) {
                self->serve(part, std::move(socket));
            } else if (self->m_acceptor.is_open()) {
                base::log(base::log_level::Warning, "can't accept a caller's connection",
                          {{"error", error.message()}});
                asio::steady_timer pause(self->m_acceptor.get_executor(), ACCEPT_PAUSE);
                co_await pause.async_wait(WITH_ERROR);
            }
        }
    }

    // Runs on the accepting thread.
    auto drain(std::function<void()> done) -> void
    {
        if (m_done) {
            return;
        }
        m_done = std::move(done);
        acceptBacklog();
        m_acceptor.close();
        for (auto &part : m_parts) {
            asio::post(part.context, [group = part.group] { group->drain(base::clock::now()); });
        }
        m_draining = true;
        if (m_open == 0) {
            finish();
        }
    }

    auto addPart(asio::io_context &context, std::size_t index) -> void
    {
        std::unique_ptr<upstream::forwarder> remote;
        if (index < m_dependencies.links.size()) {
            remote = std::make_unique<upstream::forwarder>(context, *m_dependencies.links[index]);
        }
        auto owner = std::make_unique<entry>(
                entry_dependencies{m_dependencies.node, m_dependencies.configuration,
                                   m_dependencies.fleet, m_dependencies.upstreams.executorOf(index),
                                   remote.get(), m_dependencies.metrics, m_dependencies.hooks,
                                   m_dependencies.wire},
                base::systemSeed());
        auto group = std::make_shared<connection_group>(
                connection_group{*owner, [this] { onClosed(); }, {}, {}, {}});
        m_parts.push_back({context, std::move(remote), std::move(owner), std::move(group)});
    }

    auto nextPart() -> io_part & { return m_parts[m_next++ % m_parts.size()]; }

    auto serve(io_part &part, tcp::socket socket) -> void
    {
        const bool full = m_open.fetch_add(1) >= m_dependencies.maxConnections;
        if (full) {
            m_dependencies.metrics.countRefusal(base::error_kind::TooManyConnections);
        }
        auto work = full ? refuseCaller(std::move(socket), part.group)
                         : serveCaller(std::move(socket), part.group);
        asio::co_spawn(part.context, std::move(work),
                       [self = shared_from_this()](const std::exception_ptr &failure) {
                           if (failure) {
                               logFailure(failure);
                               self->onClosed();
                           }
                       });
    }

    // Connections that the system has completed but that were not accepted would be reset.
    auto acceptBacklog() -> void
    {
        boost::system::error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error) {
            auto &part = nextPart();
            tcp::socket socket(part.context);
            m_acceptor.accept(socket, error);
            if (!error) {
                serve(part, std::move(socket));
            }
        }
    }

    auto onClosed() -> void
    {
        if (m_open.fetch_sub(1) == 1 && m_draining) {
            finish();
        }
    }

    auto finish() -> void
    {
        if (!m_finished.exchange(true) && m_done) {
            m_done();
        }
    }

    server_dependencies m_dependencies;
    tcp::acceptor m_acceptor;
    std::vector<io_part> m_parts;
    std::size_t m_next = 0;
    std::atomic<std::size_t> m_open{0};
    std::function<void()> m_done;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_finished{false};
};

caller_server::caller_server(std::vector<asio::io_context *> contexts,
                             const membership::endpoint &address, server_dependencies dependencies)
    : m_state(std::make_shared<caller_server_state>(
            std::move(contexts),
            tcp::endpoint(asio::ip::make_address(address.address), address.port),
            std::move(dependencies)))
{
    m_state->start();
}

caller_server::~caller_server() = default;

auto caller_server::port() const -> std::uint16_t
{
    return m_state->port();
}

auto caller_server::connectionCount() const -> std::size_t
{
    return m_state->connectionCount();
}

auto caller_server::abandon() -> void
{
    m_state->abandon();
}

auto caller_server::drain(std::function<void()> done) -> void
{
    m_state->requestDrain(std::move(done));
}

} // namespace hawthornpick::caller
