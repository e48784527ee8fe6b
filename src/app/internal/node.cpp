#include "app/node.h"

#include "app/internal/controlplane.h"
#include "app/internal/iothreads.h"
#include "app/internal/nodehooks.h"
#include "app/internal/peeracceptor.h"
#include "base/log.h"
#include "base/random.h"
#include "caller/callerserver.h"
#include "caller/wiring.h"
#include "operators/operatorserver.h"
#include "status/statusserver.h"
#include "upstream/upstreamservice.h"
#include "upstream/wiring.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace hawthornpick::app {

namespace {

namespace asio = boost::asio;

//! Time for the announcement that the node leaves to reach the other nodes. Requests that other
//! nodes forward later are refused as not run and retried elsewhere.
constexpr base::milliseconds LEAVE_PROPAGATION_TIME{500};
constexpr base::milliseconds DRAIN_POLL_INTERVAL{20};

// Increases at each restart unless the clock of the host was set back by more than the run time of
// the previous process. In milliseconds, because message numbers contain it and leave 43 bits for
// it.
auto newIncarnation() -> base::incarnation
{
    return base::wallClockMilliseconds();
}

auto identityOf(const config::settings &settings) -> peer::link_identity
{
    return {settings.node, newIncarnation(), settings.fleetSecret, settings.peerAddress.address};
}

} // namespace

class node_state
{
public:
    explicit node_state(const config::settings &settings)
        : m_settings(settings), m_identity(identityOf(settings)), m_ioThreads(settings.ioThreads),
          m_adminThread(1), m_control(settings, m_identity, m_metrics),
          m_health(m_control.context(), healthDependencies()),
          m_selector(selectorSettings(), base::systemSeed()),
          m_upstreams(m_ioThreads.contexts(), settings.announceAddress, upstreamDependencies()),
          m_linkPools(createLinkPools()),
          m_acceptor(std::make_shared<peer_acceptor>(m_ioThreads.contexts(), linkPoolPointers(),
                                                     settings.peerAddress)),
          m_callerServer(m_ioThreads.contexts(), settings.callerAddress, callerDependencies()),
          m_operatorServer(*m_adminThread.contexts().front(), settings.operatorAddress,
                           settings.operatorKey, m_control.operatorAccess()),
          m_statusServer(*m_adminThread.contexts().front(), settings.statusAddress, m_metrics,
                         [this] { return readiness(); })
    {
        m_health.setRegistry(m_upstreams.registry());
        m_control.registerHealthControl(m_health);
    }

    ~node_state()
    {
        m_adminThread.stop();
        m_ioThreads.stop();
        m_control.stop();
    }

    auto start() -> void
    {
        m_acceptor->start();
        m_control.start();
        m_ioThreads.start();
        m_adminThread.start();
    }

    auto drain(std::function<void()> done) -> void
    {
        if (m_isDraining.exchange(true)) {
            return;
        }
        m_control.leave();
        m_callerServer.drain([this, done = std::move(done)] { drainUpstreams(done); });
    }

    auto openConnections() const -> std::size_t { return m_callerServer.connectionCount(); }

private:
    auto selectorSettings() const -> policy::selector_settings
    {
        policy::selector_settings settings;
        settings.self = m_settings.node;
        settings.region = m_settings.region;
        settings.regionLinkBytesPerSecond = m_settings.regionLinkBytesPerSecond;
        return settings;
    }

    auto healthDependencies() -> health_dependencies
    {
        return {m_settings.node,
                m_settings.region,
                m_identity.incarnation,
                m_settings.profile,
                [this] { return m_control.fleet().load(); },
                [this] { return m_control.configuration().load(); },
                [this](const std::string &name, base::time_point now) {
                    return m_control.holdsLease(name, now);
                },
                [this](const std::string &name, bool wanted) {
                    m_control.setLeaseWanted(name, wanted);
                },
                m_metrics};
    }

    auto upstreamDependencies() -> upstream::service_dependencies
    {
        upstream::executor_hooks hooks;
        hooks.isCurrent = [this] {
            return m_control.isCurrent();
        };
        hooks.start = upstream::startHook(m_control.attempts());
        m_health.addHooks(hooks);
        return {m_settings.node, m_identity.incarnation, m_control.configuration(),
                std::move(hooks), [this](const std::vector<membership::upstream_entry> &entries) {
                    m_control.publishUpstreams(entries);
                }};
    }

    auto createLinkPools() -> std::vector<std::unique_ptr<peer::link_pool>>
    {
        std::vector<std::unique_ptr<peer::link_pool>> linkPools;
        const auto contexts = m_ioThreads.contexts();
        for (std::size_t i = 0; i < contexts.size(); ++i) {
            linkPools.push_back(std::make_unique<peer::link_pool>(
                    *contexts[i], m_identity,
                    [this, i](peer::stream_pointer incoming) {
                        m_upstreams.executorOf(i).serve(std::move(incoming));
                    },
                    [this](const base::node_id &from, base::channel kind, std::string payload) {
                        m_control.deliver(from, kind, std::move(payload));
                    }));
        }
        return linkPools;
    }

    auto linkPoolPointers() const -> std::vector<peer::link_pool *>
    {
        std::vector<peer::link_pool *> pointers;
        pointers.reserve(m_linkPools.size());
        for (const auto &linkPool : m_linkPools) {
            pointers.push_back(linkPool.get());
        }
        return pointers;
    }

    auto callerDependencies() -> caller::server_dependencies
    {
        const auto evacuations = [this] {
            const auto configuration = m_control.configuration().load();
            return config::evacuationsOf(configuration->set(), configuration->version());
        };
        auto hooks = caller::policyHooks(m_selector, m_retryBudgets, evacuations);
        hooks.selectNode = crashAwareSelection(m_health, evacuations, std::move(hooks.selectNode));
        hooks.isConfigurationCurrent = [this] {
            return m_control.isCurrent();
        };
        hooks.takeRateToken = admissionHook(m_control.tokenCache());
        hooks.fence = caller::fenceHook(m_control.fences());
        hooks.idempotency = idempotencyHooks(m_control.records());
        return {m_settings.node,    m_control.configuration(),
                m_control.fleet(),  m_upstreams,
                linkPoolPointers(), m_metrics,
                std::move(hooks),   m_settings.maxCallerConnections};
    }

    auto readiness() const -> std::vector<status::readiness_check>
    {
        return {{"config_current", m_control.isCurrent()},
                {"configured", m_control.configuration().load()->version() > 0},
                {"accepting", !m_isDraining}};
    }

    // Continues to execute requests of other nodes until all of them know that this node leaves,
    // then drains the upstreams and calls `done`.
    auto drainUpstreams(const std::function<void()> &done) -> void
    {
        runAfter(LEAVE_PROPAGATION_TIME, [this, done] {
            m_upstreams.drain();
            waitForIdleExecutors(done);
        });
    }

    auto waitForIdleExecutors(const std::function<void()> &done) -> void
    {
        countActiveRequests([this, done](std::size_t active) {
            if (active == 0) {
                done();
                return;
            }
            runAfter(DRAIN_POLL_INTERVAL, [this, done] { waitForIdleExecutors(done); });
        });
    }

    // Sums the in-flight requests of all executors. An executor may be read only on its own thread,
    // so each count is taken there; `done` is called on the thread that delivers the last one.
    auto countActiveRequests(const std::function<void(std::size_t)> &done) -> void
    {
        const auto contexts = m_ioThreads.contexts();
        const auto total = std::make_shared<std::atomic<std::size_t>>(0);
        const auto remaining = std::make_shared<std::atomic<std::size_t>>(contexts.size());
        for (std::size_t i = 0; i < contexts.size(); ++i) {
            asio::post(*contexts[i], [this, i, total, remaining, done] {
                total->fetch_add(m_upstreams.executorOf(i).activeCount());
                if (remaining->fetch_sub(1) == 1) {
                    done(total->load());
                }
            });
        }
    }

    auto runAfter(base::milliseconds delay, const std::function<void()> &action) -> void
    {
        auto timer = std::make_shared<asio::steady_timer>(*m_adminThread.contexts().front(), delay);
        timer->async_wait([timer, action](const auto & /*failure*/) { action(); });
    }

    config::settings m_settings;
    peer::link_identity m_identity;
    base::metrics m_metrics;
    std::atomic<bool> m_isDraining{false};
    io_threads m_ioThreads;
    io_threads m_adminThread;
    control_plane m_control;
    health_control m_health;
    policy::selector m_selector;
    caller::service_budgets m_retryBudgets;
    upstream::upstream_service m_upstreams;
    std::vector<std::unique_ptr<peer::link_pool>> m_linkPools;
    std::shared_ptr<peer_acceptor> m_acceptor;
    caller::caller_server m_callerServer;
    operators::operator_server m_operatorServer;
    status::status_server m_statusServer;
};

node::node(const config::settings &settings) : m_state(std::make_unique<node_state>(settings)) {}

node::~node() = default;

auto node::start() -> void
{
    m_state->start();
}

auto node::drain(std::function<void()> done) -> void
{
    m_state->drain(std::move(done));
}

auto node::openConnections() const -> std::size_t
{
    return m_state->openConnections();
}

} // namespace hawthornpick::app
