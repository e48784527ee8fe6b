#pragma once

#include "caller/callerserver.h"
#include "caller/wiring.h"
#include "upstream/upstreamservice.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace hawthornpick::testing {

//! Configuration with the service "svc", the API key "k-secret" and four routes: /open (no key,
//! idempotent), /keyed (key, idempotent), /pay (key, not idempotent) and /small (no key,
//! idempotent, body of at most 100 bytes).
auto testConfiguration() -> config::config_set;

//! Node in this process that has the request path, but no control modules.
class test_node
{
public:
    explicit test_node(const std::string &name = "n1", config::config_set set = testConfiguration(),
                       std::uint32_t maxConnections = 100,
                       const std::function<void(caller::entry_hooks &)> &adjustHooks = nullptr,
                       const upstream::wire_profile &wire = {});
    ~test_node();
    test_node(const test_node &) = delete;
    auto operator=(const test_node &) -> test_node & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t { return m_server->port(); }
    auto upstreams() -> upstream::upstream_service & { return *m_upstreams; }
    auto server() -> caller::caller_server & { return *m_server; }
    auto configuration() -> config::snapshot_cell & { return m_configuration; }

    //! Announces an upstream in the given state.
    auto announce(const std::string &name, std::uint16_t upstreamPort, std::uint32_t slots = 4,
                  membership::upstream_state state = membership::upstream_state::Ready) -> void;

    //! Waits until the node's thread has run the tasks that are queued now and the tasks that they
    //! post.
    auto waitForQueuedWork() -> void;

    //! Adds another node to the membership view of this one, so that requests are forwarded to it.
    auto addPeerNode(const test_node &other) -> void;

    //! Returns the membership entry of this node.
    [[nodiscard]] auto entry() const -> membership::node_entry;

    //! Returns the number of attempts on this node that ended in the given way.
    auto endedAttempts(upstream::attempt_ending ending) -> int;

    //! Sets whether the node holds a currency lease.
    auto setHoldsLease(bool current) -> void { m_holdsLease = current; }

    //! Sets the health of the node's upstreams, from 0 to 1.
    auto setHealth(double health) -> void { m_health = health; }

private:
    auto publish(const std::vector<membership::upstream_entry> &entries) -> void;

    auto acceptLinks() -> void;

    std::string m_name;
    mutable std::mutex m_mutex;
    std::vector<membership::upstream_entry> m_upstreamEntries;
    std::vector<membership::node_entry> m_peerNodes;
    base::metrics m_metrics;
    config::snapshot_cell m_configuration;
    base::snapshot_cell<membership::view> m_fleet;
    policy::selector m_selector;
    caller::service_budgets m_budgets;
    atmostonce::attempt_registry m_attempts;
    std::atomic<bool> m_holdsLease{true};
    std::atomic<double> m_health{1.0};
    std::array<std::atomic<int>, static_cast<std::size_t>(upstream::attempt_ending::Refused) + 1>
            m_endedAttempts{};
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::ip::tcp::acceptor m_peerAcceptor;
    std::unique_ptr<peer::link_pool> m_links;
    std::unique_ptr<upstream::upstream_service> m_upstreams;
    std::unique_ptr<caller::caller_server> m_server;
    std::thread m_thread;
};

//! Sends `request` on a new connection and returns all that is received until the node closes it or
//! `timeout` has passed.
auto exchange(std::uint16_t port, std::string_view request,
              base::milliseconds timeout = base::milliseconds(5000)) -> std::string;

//! Waits until `condition` holds; false if it does not within 10 s.
auto waitUntil(const std::function<bool()> &condition) -> bool;

} // namespace hawthornpick::testing
