#pragma once

#include "upstream/executor.h"
#include "upstream/internal/connectionpool.h"
#include "upstream/internal/slotguard.h"
#include "upstream/internal/startreservation.h"
#include "upstream/internal/upstreamexchange.h"

#include <boost/asio/steady_timer.hpp>

namespace hawthornpick::upstream {

//! Implementation of `executor`. Its coroutines hold a reference and keep it alive.
class executor_state
{
public:
    executor_state(boost::asio::io_context &context, executor_dependencies dependencies);

    auto run(const attempt_request &request, const body_source &source, const answer_sink &sink,
             cancellation &cancel) -> boost::asio::awaitable<attempt_result>;

    //! Periodically closes upstream connections that were idle for too long, until `stop`.
    static auto closeExpiredConnections(std::shared_ptr<executor_state> self)
            -> boost::asio::awaitable<void>;

    auto stop() -> void;

    [[nodiscard]] auto executor() const -> boost::asio::any_io_executor
    {
        return m_context.get_executor();
    }

    [[nodiscard]] auto context() -> boost::asio::io_context & { return m_context; }

    [[nodiscard]] auto idleConnectionCount() const -> std::size_t { return m_pool.idleCount(); }

    //! Returns the load of a service on this node, or nothing if no upstream of it has announced
    //! itself here.
    auto loadOf(const base::service_id &service) -> std::optional<policy::service_load>;

    //! Returns what the upstreams of a service on this node have said of themselves.
    [[nodiscard]] auto statementsOf(const base::service_id &service) const -> statement_report
    {
        return m_dependencies.startGates->statementsOf(service);
    }

    bool draining = false;
    std::size_t inFlightCount = 0;

private:
    using record_pointer = std::shared_ptr<const upstream_record>;

    //! A request that is allowed to start.
    struct authorized_start
    {
        record_pointer record;
        start_reservation reservation;
    };

    //! Checks incarnation, configuration, key, place, deadline and success probability. A request
    //! that fails here is not run.
    auto checkAdmission(const attempt_request &request) -> base::result<void>;
    auto checkKeyAndRoute(const attempt_request &request) -> base::result<void>;
    auto recordNotice(const upstream_record &target, const upstream_notice &notice,
                      base::time_point sentAt) -> void;
    auto recordStatements(const attempt_request &request) -> void;
    auto admitAndRun(const attempt_request &request, const body_source &source,
                     const answer_sink &sink, cancellation &cancel)
            -> boost::asio::awaitable<attempt_result>;
    //! Refuses a request if no upstream of its service here may be given one now, because they are
    //! cold or name a limit. Has those asked that may be cold.
    auto checkFreeStart(const attempt_request &request) -> base::result<void>;
    auto canAsk(const base::service_id &service) -> bool;
    //! Reserves the start of a request at the upstream.
    auto reserveStart(const attempt_request &request, const base::upstream_id &upstream)
            -> base::result<start_reservation>;
    auto acquireSlot(const attempt_request &request, cancellation &cancel)
            -> boost::asio::awaitable<base::result<slot_guard>>;
    //! Repeats the admission check after the wait for a slot, looks up the upstream and marks the
    //! attempt as started.
    auto authorizeStart(const attempt_request &request, const base::upstream_id &upstream)
            -> base::result<authorized_start>;
    //! Sends a started attempt to the upstream, at most once more on a new connection.
    auto runExchange(const attempt_request &request, authorized_start &start,
                     const body_source &source, const answer_sink &sink, cancellation &cancel)
            -> boost::asio::awaitable<exchange_result>;
    //! Returns an idle connection or opens one; `openNew` skips the idle ones.
    auto acquireConnection(const attempt_request &request, const upstream_record &target,
                           bool openNew, cancellation &cancel)
            -> boost::asio::awaitable<base::result<connection_pointer>>;
    auto serviceSettingsOf(const attempt_request &request) -> config::service;
    auto coldTermsOf(const base::service_id &service) -> policy::cold_terms;

    boost::asio::io_context &m_context;
    executor_dependencies m_dependencies;
    base::snapshot_reader<config::snapshot> m_configuration;
    base::snapshot_reader<upstream_table> m_upstreams;
    connection_pool m_pool;
    boost::asio::steady_timer m_poolTimer;
    bool m_stopped = false;
};

} // namespace hawthornpick::upstream
