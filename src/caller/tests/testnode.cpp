#include "caller/tests/testnode.h"

#include "caller/tests/rawclient.h"
#include "upstream/wiring.h"

#include <boost/asio/post.hpp>
#include <future>

namespace hawthornpick::testing {

namespace {

constexpr base::incarnation INCARNATION = 7;

auto makeRoute(const char *id, const char *path, config::route_access access, bool idempotent)
        -> config::route
{
    config::route route;
    route.id = base::route_id(id);
    route.pathPrefix = path;
    route.service = base::service_id("svc");
    route.access = access;
    route.idempotent = idempotent;
    return route;
}

} // namespace

auto testConfiguration() -> config::config_set
{
    using enum config::route_access;
    config::config_set set;
    set.organisations.push_back({base::organisation_id("org"), 1e6, 1000000, 1});
    set.keys.push_back(
            {base::key_id("key-1"), base::organisation_id("org"), base::sha256("k-secret")});
    config::service service;
    service.id = base::service_id("svc");
    set.services.push_back(service);
    set.routes.push_back(makeRoute("keyed", "/keyed", Keyed, true));
    set.routes.push_back(makeRoute("open", "/open", Open, true));
    set.routes.push_back(makeRoute("pay", "/pay", Keyed, false));
    set.routes.push_back(makeRoute("small", "/small", Open, true));
    set.routes.back().maxBodyBytes = 100;
    return set;
}

test_node::test_node(const std::string &name, config::config_set set, std::uint32_t maxConnections,
                     const std::function<void(caller::entry_hooks &)> &adjustHooks,
                     const upstream::wire_profile &wire)
    : m_name(name), m_configuration(std::make_shared<const config::snapshot>(1, std::move(set))),
      m_fleet(std::make_shared<const membership::view>()),
      m_selector(policy::selector_settings{base::node_id(name), base::region_id("r1")}, 1),
      m_attempts(INCARNATION), m_work(boost::asio::make_work_guard(m_context)),
      m_peerAcceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
{
    upstream::executor_hooks hooks;
    hooks.isCurrent = [this] {
        return m_holdsLease.load();
    };
    hooks.start = upstream::startHook(m_attempts);
    hooks.health = [this](const base::service_id &) {
        return m_health.load();
    };
    hooks.onFinish = [this](const auto &, const upstream::attempt_finish &finish) {
        ++m_endedAttempts.at(static_cast<std::size_t>(finish.ending));
    };
    m_upstreams = std::make_unique<upstream::upstream_service>(
            std::vector{&m_context}, membership::endpoint{"127.0.0.1", 0},
            upstream::service_dependencies{base::node_id(name), INCARNATION, m_configuration, hooks,
                                           [this](const auto &entries) { publish(entries); },
                                           wire});
    m_links = std::make_unique<peer::link_pool>(
            m_context, peer::link_identity{base::node_id(name), INCARNATION, "secret", ""},
            [this](peer::stream_pointer incoming) {
                m_upstreams->executorOf(0).serve(std::move(incoming));
            },
            [](const base::node_id &, base::channel, std::string) {});
    auto entryHooks = caller::policyHooks(m_selector, m_budgets);
    entryHooks.isConfigurationCurrent = hooks.isCurrent;
    if (adjustHooks) {
        adjustHooks(entryHooks);
    }
    m_server = std::make_unique<caller::caller_server>(
            std::vector{&m_context}, membership::endpoint{"127.0.0.1", 0},
            caller::server_dependencies{base::node_id(name),
                                        m_configuration,
                                        m_fleet,
                                        *m_upstreams,
                                        {m_links.get()},
                                        m_metrics,
                                        entryHooks,
                                        maxConnections,
                                        wire});
    acceptLinks();
    m_thread = std::thread([this] { m_context.run(); });
}

test_node::~test_node()
{
    m_context.stop();
    m_thread.join();
}

auto test_node::acceptLinks() -> void
{
    m_peerAcceptor.async_accept(
            [this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
                if (!error) {
                    m_links->serveAccepted(std::move(socket));
                    acceptLinks();
                }
            });
}

auto test_node::entry() const -> membership::node_entry
{
    const std::lock_guard lock(m_mutex);
    membership::node_entry node;
    node.id = base::node_id(m_name);
    node.incarnation = INCARNATION;
    node.region = base::region_id("r1");
    node.peerAddress = {"127.0.0.1", m_peerAcceptor.local_endpoint().port()};
    node.upstreams = m_upstreamEntries;
    return node;
}

auto test_node::waitForQueuedWork() -> void
{
    for (int pass = 0; pass < 2; ++pass) {
        std::promise<void> done;
        boost::asio::post(m_context, [&done] { done.set_value(); });
        done.get_future().wait();
    }
}

auto test_node::addPeerNode(const test_node &other) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_peerNodes.push_back(other.entry());
    }
    publish(entry().upstreams);
}

auto test_node::publish(const std::vector<membership::upstream_entry> &entries) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_upstreamEntries = entries;
    }
    auto nodes = m_peerNodes;
    nodes.push_back(entry());
    m_fleet.store(std::make_shared<const membership::view>(1, std::move(nodes)));
}

auto test_node::announce(const std::string &name, std::uint16_t upstreamPort, std::uint32_t slots,
                         membership::upstream_state state) -> void
{
    // The announcement must not expire during the test, because it is not repeated.
    const auto expiry = base::clock::now() + std::chrono::hours(1);
    m_upstreams->registry().announce(
            {name, base::service_id("svc"), {"127.0.0.1", upstreamPort}, slots, state, 1}, expiry);
}

auto test_node::endedAttempts(upstream::attempt_ending ending) -> int
{
    return m_endedAttempts.at(static_cast<std::size_t>(ending)).load();
}

auto exchange(std::uint16_t port, std::string_view request, base::milliseconds timeout)
        -> std::string
{
    raw_client client(port);
    client.send(request);
    return client.readUntilEnd(timeout);
}

auto waitUntil(const std::function<bool()> &condition) -> bool
{
    const auto deadline = base::clock::now() + std::chrono::seconds(10);
    while (!condition() && base::clock::now() < deadline) {
        std::this_thread::sleep_for(base::milliseconds(5));
    }
    return condition();
}

} // namespace hawthornpick::testing
