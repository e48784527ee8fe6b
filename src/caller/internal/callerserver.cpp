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

// Delay after a failed accept, for example when no file descriptor is left.
constexpr base::milliseconds ACCEPT_RETRY_DELAY{50};
constexpr auto AWAIT_WITH_ERROR = asio::as_tuple(asio::use_awaitable);

auto logConnectionFailure(const std::exception_ptr &exception) -> void
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        base::log(base::log_level::Error, "caller connection failed", {{"error", error.what()}});
    }
}

// What the server has for one I/O thread.
struct io_worker
{
    asio::io_context &context;
    std::unique_ptr<upstream::forwarder> remote;
    std::unique_ptr<entry_context> entryContext;
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
        m_port = m_acceptor.local_endpoint().port();
        for (std::size_t i = 0; i < contexts.size(); ++i) {
            addWorker(*contexts[i], i);
        }
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }

    [[nodiscard]] auto connectionCount() const -> std::size_t { return m_openConnections.load(); }

    auto start() -> void
    {
        asio::co_spawn(m_acceptor.get_executor(), acceptConnections(shared_from_this()),
                       asio::detached);
    }

    auto requestDrain(std::function<void()> done) -> void
    {
        asio::post(m_acceptor.get_executor(),
                   [self = shared_from_this(), done = std::move(done)]() mutable {
                       self->drain(std::move(done));
                   });
    }

    auto cancelRequests() -> void
    {
        for (auto &worker : m_workers) {
            asio::post(worker.context, [group = worker.group] { group->cancelRequests(); });
        }
    }

private:
    static auto acceptConnections(std::shared_ptr<caller_server_state> self)
            -> asio::awaitable<void>
    {
        while (self->m_acceptor.is_open()) {
            auto &worker = self->nextWorker();
            auto [error, socket] =
                    co_await self->m_acceptor.async_accept(worker.context, AWAIT_WITH_ERROR);
            if (!error) {
                self->serve(worker, std::move(socket));
            } else if (self->m_acceptor.is_open()) {
                base::log(base::log_level::Warning, "cannot accept a caller connection",
                          {{"error", error.message()}});
                asio::steady_timer retryTimer(self->m_acceptor.get_executor(), ACCEPT_RETRY_DELAY);
                co_await retryTimer.async_wait(AWAIT_WITH_ERROR);
            }
        }
    }

    // Runs on the thread of the acceptor.
    auto drain(std::function<void()> done) -> void
    {
        if (m_onDrained) {
            return;
        }
        m_onDrained = std::move(done);
        acceptPendingConnections();
        m_acceptor.close();
        for (auto &worker : m_workers) {
            asio::post(worker.context,
                       [group = worker.group] { group->drain(base::clock::now()); });
        }
        m_isDraining = true;
        if (m_openConnections == 0) {
            reportDrained();
        }
    }

    auto addWorker(asio::io_context &context, std::size_t index) -> void
    {
        std::unique_ptr<upstream::forwarder> remote;
        if (index < m_dependencies.links.size()) {
            remote = std::make_unique<upstream::forwarder>(context, *m_dependencies.links[index],
                                                           m_told);
        }
        auto entryContext = std::make_unique<entry_context>(
                entry_dependencies{m_dependencies.node, m_dependencies.configuration,
                                   m_dependencies.fleet, m_dependencies.upstreams.executorOf(index),
                                   remote.get(), m_dependencies.metrics, m_dependencies.hooks,
                                   m_dependencies.wire},
                base::systemSeed());
        auto group = std::make_shared<connection_group>(
                connection_group{*entryContext, [this] { onClosed(); }, {}, {}, {}});
        m_workers.push_back(
                {context, std::move(remote), std::move(entryContext), std::move(group)});
    }

    auto nextWorker() -> io_worker & { return m_workers[m_nextWorker++ % m_workers.size()]; }

    auto serve(io_worker &worker, tcp::socket socket) -> void
    {
        const bool isLimitReached = m_openConnections.fetch_add(1) >= m_dependencies.maxConnections;
        if (isLimitReached) {
            m_dependencies.metrics.countRefusal(base::error_kind::TooManyConnections);
        }
        auto task = isLimitReached ? refuseCaller(std::move(socket), worker.group)
                                   : serveCaller(std::move(socket), worker.group);
        asio::co_spawn(worker.context, std::move(task),
                       [self = shared_from_this()](const std::exception_ptr &exception) {
                           if (exception) {
                               logConnectionFailure(exception);
                               self->onClosed();
                           }
                       });
    }

    // Accepts the connections in the listen backlog, which closing the acceptor would reset.
    auto acceptPendingConnections() -> void
    {
        boost::system::error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error) {
            auto &worker = nextWorker();
            tcp::socket socket(worker.context);
            m_acceptor.accept(socket, error);
            if (!error) {
                serve(worker, std::move(socket));
            }
        }
    }

    auto onClosed() -> void
    {
        if (m_openConnections.fetch_sub(1) == 1 && m_isDraining) {
            reportDrained();
        }
    }

    auto reportDrained() -> void
    {
        if (!m_isDrainReported.exchange(true) && m_onDrained) {
            m_onDrained();
        }
    }

    server_dependencies m_dependencies;
    tcp::acceptor m_acceptor;
    // Kept, because the acceptor is closed during a drain.
    std::uint16_t m_port = 0;
    upstream::told_statements m_told;
    std::vector<io_worker> m_workers;
    std::size_t m_nextWorker = 0;
    std::atomic<std::size_t> m_openConnections{0};
    std::function<void()> m_onDrained;
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_isDrainReported{false};
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

auto caller_server::cancelRequests() -> void
{
    m_state->cancelRequests();
}

auto caller_server::drain(std::function<void()> done) -> void
{
    m_state->requestDrain(std::move(done));
}

} // namespace hawthornpick::caller
