#pragma once

#include "upstream/executor.h"
#include "upstream/internal/connectionpool.h"
#include "upstream/internal/slotguard.h"
#include "upstream/internal/upstreamexchange.h"

#include <boost/asio/steady_timer.hpp>

namespace hawthornpick::upstream {

//! Implementation of `executor`, kept alive by its coroutines.
class executor_state
{
public:
    executor_state(boost::asio::io_context &context, executor_dependencies dependencies);

    auto run(const attempt_request &request, const body_source &source, const answer_sink &sink,
             cancellation &cancel) -> boost::asio::awaitable<attempt_result>;

    //! Closes idle upstream connections until `stop`.
    static auto lookAfterPool(std::shared_ptr<executor_state> self) -> boost::asio::awaitable<void>;

    auto stop() -> void;

    [[nodiscard]] auto executor() const -> boost::asio::any_io_executor
    {
        return m_context.get_executor();
    }

    [[nodiscard]] auto context() -> boost::asio::io_context & { return m_context; }

    [[nodiscard]] auto idleConnectionCount() const -> std::size_t { return m_pool.idleCount(); }

    //! Returns the load of a service on this node, or nothing if it has no upstream here.
    auto loadOf(const base::service_id &service) -> std::optional<policy::service_load>;

    bool draining = false;
    std::size_t active = 0;

private:
    using record_pointer = std::shared_ptr<const upstream_record>;

    auto check(const attempt_request &request) -> base::result<void>;
    auto checkKey(const attempt_request &request) -> base::result<void>;
    auto runOnUpstream(const attempt_request &request, const body_source &source,
                       const answer_sink &sink, cancellation &cancel)
            -> boost::asio::awaitable<attempt_result>;
    auto takeSlot(const attempt_request &request, cancellation &cancel)
            -> boost::asio::awaitable<base::result<slot_guard>>;
    auto prepareStart(const attempt_request &request, const base::upstream_id &upstream)
            -> base::result<record_pointer>;
    auto runStarted(const attempt_request &request, const upstream_record &target,
                    const body_source &source, const answer_sink &sink, cancellation &cancel)
            -> boost::asio::awaitable<exchange_result>;
    auto takeConnection(const attempt_request &request, const upstream_record &target, bool fresh,
                        cancellation &cancel)
            -> boost::asio::awaitable<base::result<connection_pointer>>;
    auto serviceOf(const attempt_request &request) -> config::service;

    boost::asio::io_context &m_context;
    executor_dependencies m_dependencies;
    base::snapshot_reader<config::snapshot> m_configuration;
    base::snapshot_reader<upstream_table> m_upstreams;
    connection_pool m_pool;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
};

} // namespace hawthornpick::upstream
